/** Selects the route of a request: an exact host before any host, then the longest path prefix, then the method. */
import type { Document, Route } from './document'

export type RouteMatch =
  | { readonly kind: 'matched'; readonly route: Route }
  | { readonly kind: 'method-not-allowed'; readonly methods: readonly string[] }
  | { readonly kind: 'none' }

/** `path` is the request path without the query string. */
export function matchRoute(document: Document, host: string, method: string, path: string): RouteMatch {
  const name = hostName(host)
  const methods = new Set<string>()
  for (const route of document.routes) {
    if (route.host !== undefined && route.host !== name) continue
    if (!pathMatches(route.path, path)) continue
    if (route.anyMethod || route.methods.has(method)) return { kind: 'matched', route }
    for (const allowed of route.methods) methods.add(allowed)
  }
  return methods.size > 0 ? { kind: 'method-not-allowed', methods: [...methods].sort() } : { kind: 'none' }
}

function hostName(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, '')
}

function pathMatches(prefix: string, path: string): boolean {
  if (!path.startsWith(prefix)) return false
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/'
}
