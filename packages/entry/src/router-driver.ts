/** Executes the effects that the router returns and calls its `tick` at the times it requests. */
import type { ServerId, ServiceName } from '@bilberrystall/base'
import {
  callId,
  HedgingPolicies,
  unansweredAfterMs,
  type Call,
  type CallId,
  type Effect,
  type ExchangeOutcome,
  type LoadQueryResult,
  type Load,
  type LoadReport,
  type Router,
  type ServerChange,
  type Shed,
} from '@bilberrystall/routing'

import { MISDIRECTED, type ResponseHead } from './head'
import { LoadReports } from './load-reports'
import { parseRetryAfter } from './retry-after'
import { SlotMap } from './slot-map'

/** A call that is queued in the router or in progress at a server. */
export interface RoutedCall {
  readonly queryLoad: (servers: readonly ServerId[]) => void
  readonly dispatched: (server: ServerId, queueLimit: number | undefined) => void
  readonly shed: (refusal: Shed) => void
}

export interface RouterDriverOptions {
  readonly router: Router
  readonly now: () => number
  /** Absent: no service has a limit on hedged attempts. */
  readonly hedging?: HedgingPolicies | undefined
  readonly probe: (server: ServerId, timeoutMs: number) => void
  /** The use of a server changed. */
  readonly serverChanged: (change: ServerChange) => void
}

const UNAVAILABLE = 503
/** Resolution of timers: shorter delays only cause extra wake-ups. */
const MIN_TIMER_MS = 1

export class RouterDriver {
  readonly hedging: HedgingPolicies
  readonly #options: RouterDriverOptions
  readonly #loadReports = new LoadReports()
  readonly #calls = new SlotMap<RoutedCall>()
  #timer: NodeJS.Timeout | undefined
  #wakeAt = Infinity

  constructor(options: RouterDriverOptions) {
    this.#options = options
    this.hedging = options.hedging ?? new HedgingPolicies()
  }

  /** Assigns an id that is valid until `unregister`, also across several submissions. */
  register(routed: RoutedCall): CallId {
    return callId(this.#calls.add(routed))
  }

  unregister(call: CallId): void {
    this.#calls.remove(call)
  }

  submit(call: Call): void {
    this.apply(this.#options.router.submit(call, this.#now()))
  }

  started(call: CallId): void {
    this.#options.router.started(call, this.#now())
  }

  finished(call: CallId, outcome: ExchangeOutcome, latency: number, load: Load | undefined): void {
    this.apply(this.#options.router.finished(call, outcome, latency, load, this.#now()))
  }

  /**
   * Takes from a response what the server says of itself: that it leaves, that it wants nothing for some time, for how
   * long it is cold, and its rate limit. A refusal without a rate limit does not say that the limit has ended.
   */
  responded(server: ServerId, head: ResponseHead): void {
    const { status, notRun, rateLimit, warmUpMs, isLeaving, retryAfter, load } = head
    if (status === MISDIRECTED) return
    if (load !== undefined) this.#loadReports.add(server, load, this.#now())
    const { router } = this.#options
    if (warmUpMs !== undefined) router.warmUpReported(server, warmUpMs, this.#now())
    const pauseMs = status === UNAVAILABLE && retryAfter !== undefined ? parseRetryAfter(retryAfter) : undefined
    if (isLeaving || pauseMs !== undefined) {
      this.apply(router.statementReceived(server, { isLeaving, pauseMs }, this.#now()))
    }
    if (notRun && rateLimit === undefined) return
    this.apply(router.rateLimitReported(server, rateLimit, this.#now()))
  }

  /** Whether a request that was prepared for the server may still be sent to it. */
  accepts(server: ServerId): boolean {
    return this.#options.router.accepts(server, this.#now())
  }

  answered(call: CallId, server: ServerId, result: LoadQueryResult): void {
    this.apply(this.#options.router.answered(call, server, result, this.#now()))
  }

  cancelled(call: CallId): void {
    this.apply(this.#options.router.cancelled(call, this.#now()))
  }

  probed(server: ServerId, outcome: ExchangeOutcome, latency: number, load: Load | undefined): void {
    this.apply(this.#options.router.probed(server, outcome, latency, load, this.#now()))
  }

  mayRetry(service: ServiceName): boolean {
    return this.#options.router.mayRetry(service, this.#now())
  }

  /** Returns the 95th percentile of the latency of the service in ms, as the router estimates it. */
  p95Latency(service: ServiceName): number {
    return this.#options.router.p95Latency(service)
  }

  /** Returns the last load that the server reported to this entry. */
  loadReport(server: ServerId): LoadReport | undefined {
    return this.#loadReports.last(server, this.#now())
  }

  /** Returns the time in ms after which a request of the call at the server counts as unanswered. */
  unansweredAfterMs({ service, target }: Omit<Call, 'id'>, server: ServerId, silenceMs: number): number {
    const tailLatency = this.hedging.of(service).tailLatency(this.#now())
    return unansweredAfterMs({ tailLatency, target, silenceMs, report: this.loadReport(server) })
  }

  apply(effects: readonly Effect[]): void {
    for (const effect of effects) this.#execute(effect)
    this.#armTimer()
  }

  stop(): void {
    clearTimeout(this.#timer)
    this.#timer = undefined
    this.#wakeAt = Infinity
  }

  #execute(effect: Effect): void {
    switch (effect.kind) {
      case 'dispatch': {
        const call = this.#calls.get(effect.call)
        // The call ended before the effect was executed, so its slot at the server must be freed.
        if (call === undefined) this.cancelled(effect.call)
        else call.dispatched(effect.server, effect.queueLimit)
        return
      }
      case 'query-load': {
        const call = this.#calls.get(effect.call)
        if (call === undefined) this.cancelled(effect.call)
        else call.queryLoad(effect.servers)
        return
      }
      case 'shed':
        this.#calls.get(effect.call)?.shed(effect)
        return
      case 'probe':
        this.#options.probe(effect.server, effect.timeout)
        return
      case 'ejected':
      case 'restored':
      case 'limited':
      case 'unlimited':
      case 'cold':
      case 'warm':
      case 'leaving':
      case 'paused':
        this.#options.serverChanged(effect)
    }
  }

  #armTimer(): void {
    const wakeAt = this.#options.router.nextWake()
    if (wakeAt === this.#wakeAt) return
    clearTimeout(this.#timer)
    this.#wakeAt = wakeAt
    if (!Number.isFinite(wakeAt)) return
    const delay = Math.max(MIN_TIMER_MS, Math.ceil(wakeAt - this.#now()))
    this.#timer = setTimeout(() => {
      this.#wakeAt = Infinity
      this.apply(this.#options.router.tick(this.#now()))
    }, delay)
  }

  #now(): number {
    return this.#options.now()
  }
}
