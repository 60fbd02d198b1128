/** Bodies of the operator's calls. */

export const ROUTE_COLUMNS = [
  'name',
  'host',
  'path_prefix',
  'kind',
  'timeout',
  'target_latency',
  'priority',
  'traffic_split',
  'max_attempts',
  'service',
]
const SERVICE_COLUMNS = ['name', 'health_path', 'max_connections', 'protocol', 'tls']

export interface RouteOptions {
  readonly name: string
  readonly prefix: string
  readonly kind: 'safe' | 'unsafe'
  readonly timeoutMs: number
  readonly service: string
}

export const HOST = 'review.example'

export function route({ name, prefix, kind, timeoutMs, service }: RouteOptions): readonly unknown[] {
  return [name, HOST, prefix, kind, `${timeoutMs}ms`, '300ms', 1, null, 2, service]
}

export function configuration(version: number, routes: readonly (readonly unknown[])[], services: readonly string[]) {
  return {
    version,
    base_version: 0,
    routes: { columns: ROUTE_COLUMNS, rows: routes },
    services: { columns: SERVICE_COLUMNS, rows: services.map((name) => [name, '/health', 260, 'h1', false]) },
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout: '3000ms',
      idle_timeout: '15000ms',
    },
  }
}
