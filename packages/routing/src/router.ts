/**
 * Server selection of one entry process. The router owns the calls that wait and the calls in flight; the shell carries
 * out the returned effects and reports what happened. It performs no I/O: time and random numbers are passed in.
 *
 * Order of use per call: `submit`, then for a `dispatch` effect `started` and exactly one of `finished` and
 * `cancelled`. A call that the shell repeats is submitted again, under the same id, with the servers already tried and
 * after `mayRetry` allowed it.
 */
import type { CodeName, Random, ServerId, ServiceName } from '@bilberrystall/base'
import type { Call, CallId, Effect, ExchangeOutcome, Load, Observation, Server } from './call'
import { RetryBudget, type RetryLimits } from './retry-budget'
import { MeasuringTokens } from './tokens'

export interface RouterOptions {
  readonly random: Random
  /** Tokens for probes, shared with the shell that adds grants to them. */
  readonly tokens?: MeasuringTokens
  /** Round trip between this entry and servers in ms, default 2. */
  readonly roundTrip?: number
  /** Slot time in ms reserved for one probe, default 12 (a probe takes about 6). */
  readonly probeLimit?: number
}

export interface ServiceLimits {
  readonly retries?: RetryLimits
  /** Most calls that wait in this entry, default 10,000. */
  readonly queue?: number
}

export class Router {
  readonly tokens: MeasuringTokens
  readonly #budgets = new Map<ServiceName, RetryBudget>()
  readonly #limits = new Map<ServiceName, ServiceLimits>()
  readonly #servers = new Map<ServerId, Server>()
  readonly #inFlight = new Map<CallId, ServerId>()

  constructor(options: RouterOptions) {
    this.tokens = options.tokens ?? new MeasuringTokens()
  }

  /** Applies the limits of the document to a service. */
  configure(service: ServiceName, limits: ServiceLimits): void {
    this.#limits.set(service, limits)
    this.#budgets.delete(service)
  }

  /** Adds a server or replaces what is known about it. */
  updateServer(server: Server, _now: number): readonly Effect[] {
    this.#servers.set(server.id, server)
    return []
  }

  /** The server left or its lease expired. Calls in flight keep their exchange until `finished`. */
  removeServer(server: ServerId, _now: number): readonly Effect[] {
    this.#servers.delete(server)
    return []
  }

  submit(call: Call, _now: number): readonly Effect[] {
    for (const server of this.#servers.values()) {
      if (server.service !== call.service || server.state !== 'ready') continue
      if (call.tried?.includes(server.id) === true) continue
      this.#inFlight.set(call.id, server.id)
      return [{ kind: 'dispatch', call: call.id, server: server.id }]
    }
    const code: CodeName = 'noServer'
    return [{ kind: 'shed', call: call.id, code }]
  }

  /** The first byte of the request was written to a connection of the server. */
  started(_call: CallId, _now: number): void {
    // The exchange is counted from its dispatch.
  }

  /** The exchange ended after `latency` ms; `load` is the report carried by the response. */
  finished(
    call: CallId,
    _outcome: ExchangeOutcome,
    _latency: number,
    _load: Load | undefined,
    _now: number,
  ): readonly Effect[] {
    this.#inFlight.delete(call)
    return []
  }

  /** The caller no longer waits: removes the call from its queue or frees its place at the server. */
  cancelled(call: CallId, _now: number): readonly Effect[] {
    this.#inFlight.delete(call)
    return []
  }

  /** Takes one retry from the budget of the service; false when the call must end with its failure. */
  mayRetry(service: ServiceName, now: number): boolean {
    let budget = this.#budgets.get(service)
    if (budget === undefined) {
      budget = new RetryBudget(this.#limits.get(service)?.retries ?? {}, now)
      this.#budgets.set(service, budget)
    }
    return budget.take(now)
  }

  /** Information from peers or announcements. */
  observe(_observation: Observation, _now: number): readonly Effect[] {
    return []
  }

  /** What this entry knows first-hand, to be passed to peers. */
  observations(_now: number): readonly Observation[] {
    return []
  }

  /** A probe ended. */
  probed(
    _server: ServerId,
    _outcome: ExchangeOutcome,
    _latency: number,
    _load: Load | undefined,
    _now: number,
  ): readonly Effect[] {
    return []
  }

  /** Applies everything that is due: expiry in queues, suspicion by age, probes. */
  tick(_now: number): readonly Effect[] {
    return []
  }

  /** Time in ms at which `tick` is next needed, infinite when no call waits and nothing is due. */
  nextWake(): number {
    return Number.POSITIVE_INFINITY
  }
}
