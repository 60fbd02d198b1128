/** Status listener of a node: server announcements, the health endpoint for the platform's balancer, and metrics. */
import { failure, toProblem, resultCode, type Failure } from '@bilberrystall/base'
import { leaseTimes, SERVER_RENEWAL_MS } from '@bilberrystall/membership'
import { bearerHeader, secretsEqual } from '@bilberrystall/rpc'
import { Hono, type Context } from 'hono'
import type { Result } from 'neverthrow'
import { parseAnnouncement, type Announcement } from './announcement'
import { limitBody } from './body-limit'

const ANNOUNCEMENT_LIMIT_BYTES = 4096

export type Health =
  | { readonly state: 'ready' }
  | { readonly state: 'stale'; readonly reason: string }
  | { readonly state: 'not-ready'; readonly reason: string }
  | { readonly state: 'isolated'; readonly reason: string }
  | { readonly state: 'leaving' }

export interface StatusListenerOptions {
  readonly health: () => Health
  readonly metrics: () => Promise<string>
  /** Undefined on nodes that accept no announcements here: those without the entry role or without a server key. */
  readonly serverKey: string | undefined
  /** Interval at which servers renew their announcements if control decides departures. */
  readonly renewalMs?: number | undefined
  readonly announce: (announcement: Announcement) => Result<unknown, Failure> | Promise<Result<unknown, Failure>>
}

export function statusApp(options: StatusListenerOptions): Hono {
  const app = new Hono()
  app.get('/health', (context) => {
    const health = options.health()
    const serving = health.state === 'ready' || health.state === 'stale'
    return context.json(health, serving ? 200 : 503)
  })
  app.get('/metrics', async (context) => context.text(await options.metrics()))
  app.post(
    '/v1/announcements',
    limitBody({ maxBytes: ANNOUNCEMENT_LIMIT_BYTES, onExceeded: tooLargeResponse }),
    (context) => handleAnnouncement(context, options),
  )
  app.notFound(() => problemResponse(failure('notFound')))
  return app
}

async function handleAnnouncement(context: Context, options: StatusListenerOptions): Promise<Response> {
  if (options.serverKey === undefined) return problemResponse(failure('notFound'))
  if (!secretsEqual(context.req.header('authorization') ?? '', bearerHeader(options.serverKey))) {
    return problemResponse(failure('serverUnauthorized'))
  }
  const body: unknown = await context.req.json().catch(() => undefined)
  const parsed = parseAnnouncement(body)
  if (parsed.isErr()) return problemResponse(parsed.error)
  const announced = await options.announce(parsed.value)
  return announced.match(
    () => context.json(renewalTerms(options.renewalMs)),
    (cause) => problemResponse(cause),
  )
}

/** What a server is told: when to renew, and the time after its last renewal from which no entry sends it new calls. */
function renewalTerms(renewalMs: number | undefined): { renewMs: number; leaseMs: number } {
  const { renewalTimeoutMs, originLeaseMs } = leaseTimes(renewalMs)
  return { renewMs: renewalMs ?? SERVER_RENEWAL_MS, leaseMs: renewalTimeoutMs + originLeaseMs }
}

function tooLargeResponse(): Response {
  return problemResponse(failure('announcementInvalid', `the body exceeds ${ANNOUNCEMENT_LIMIT_BYTES} bytes`))
}

/** Creates the RFC 9457 problem response of a failure. */
export function problemResponse(cause: Failure): Response {
  const { status } = resultCode(cause.code)
  return new Response(JSON.stringify(toProblem(cause)), {
    status: status === 0 ? 500 : status,
    headers: { 'content-type': 'application/problem+json' },
  })
}
