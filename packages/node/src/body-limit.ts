/**
 * Limits the bodies of requests. The middleware of the library creates the body stream of each request to find out whether
 * there is one, which takes longer than the handler of a short request. A length that the request states is compared
 * without it; the HTTP parser reads no more than that.
 */
import type { Context, MiddlewareHandler } from 'hono'
import { bodyLimit } from 'hono/body-limit'

export interface BodyLimitOptions {
  readonly maxBytes: number
  /** Returns the response to a request with a longer body. */
  readonly onExceeded: (context: Context) => Response | Promise<Response>
}

export function limitBody({ maxBytes, onExceeded }: BodyLimitOptions): MiddlewareHandler {
  const limitStream = bodyLimit({ maxSize: maxBytes, onError: onExceeded })
  return (context, next) => {
    const length = context.req.header('content-length')
    if (length === undefined || context.req.header('transfer-encoding') !== undefined) return limitStream(context, next)
    return Number(length) > maxBytes ? Promise.resolve(onExceeded(context)) : next()
  }
}
