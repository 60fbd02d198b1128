/**
 * Calls that ask a few servers for their load before they are sent. Load shifts within milliseconds, and one entry of many
 * sees a server too rarely to know it; a question to three servers costs one round trip and tells which one is free and
 * fast right now. The questions of all entries together stay within an allowance per server.
 */
import { randomBelow, type Random, type ServerId } from '@bilberrystall/base'
import type { Call, CallId, Effect, Load } from './call'
import { isUsable } from './selection'
import type { ServerRecord } from './server-record'

/** Servers asked at a time. Two find a fast one too rarely when a third of them is slow; more cost slot time. */
const ASKED_AT_ONCE = 3
/** Servers asked at most for one decision. */
const MOST_ASKED = 6
/** Cost up to which the first answer is taken without waiting for the others: a free slot of a server at usual speed. */
const GOOD_COST = 1.2
/** Time in ms for the answers of one round; a healthy server answers within a round trip and its cost of a probe. */
const ROUND_LIMIT = 15
/** Pause in ms before servers are asked again when none was good. */
const PAUSE = 25
/** Share of the target time for which a call waits for a better server: waiting longer is better spent at a server. */
const PATIENCE = 1 / 8
/** Weight of the last slots of a server: some slow down when they are nearly full. */
const CROWDED_SHARE = 0.8
const CROWDED_COST = 0.5
/** Calls that may wait at a server: more of them only time out there, or are refused or reset. */
const MOST_WAITING = 1
/** Time in ms after which what a server said about its speed is worth half. */
const SPEED_HALF_LIFE = 250
/** Expected slowness of a server that nothing is known of. */
const UNKNOWN_SLOWNESS = 1.5
/** Preference for asking servers of the own failure domain first: what they send costs no traffic between domains. */
const OTHER_DOMAIN_COST = 1
/** Preference for servers to which a connection is open: a new one costs the server slot time and this entry a round trip. */
const NO_CONNECTION_COST = 0.5
/** Time in ms after its last answer for which a server is taken to have an open connection. */
const CONNECTION_KEPT = 4_000
/** A server that is this far on its ramp, relative to the others, counts as warm. */
const WARM_SHARE = 0.6
const COLD_COST = 1.6
const JITTER_STEPS = 1000
const JITTER = 0.4
const MS_PER_SECOND = 1000
/** Questions to one server that may be saved up. */
const SAVED_QUESTIONS = 20
/** Services whose servers do not report their load are not asked for this time in ms. */
const SILENT_SERVICE_PAUSE = 30_000
const SILENT_ANSWERS = 5

/** What a question brought: the load, an answer without one, or nothing in time. */
export type InquiryResult =
  | { readonly kind: 'load'; readonly load: Load }
  | { readonly kind: 'no-load' }
  /** The server refused or broke off; it takes nothing more right now. */
  | { readonly kind: 'refused' }

export interface InquiryHost {
  readonly records: readonly ServerRecord[]
  /** Sends the call to the server. */
  readonly send: (call: Call, record: ServerRecord, now: number, effects: Effect[]) => void
  /** No server takes the call in time. */
  readonly refuse: (call: Call, effects: Effect[]) => void
  /** Nothing is known; the call goes the way of calls without questions. */
  readonly proceed: (call: Call, now: number, effects: Effect[]) => void
}

interface Answer {
  readonly record: ServerRecord
  readonly cost: number
  readonly isFull: boolean
}

interface Inquiry {
  readonly call: Call
  readonly host: InquiryHost
  readonly since: number
  readonly asked: Set<ServerId>
  answers: Answer[]
  /** Questions of this round without an answer. */
  open: Set<ServerId>
  decideAt: number
  isPausing: boolean
}

export interface InquiriesOptions {
  readonly random: Random
  /** Questions that this entry may ask one server per second. */
  readonly perServerPerSecond: () => number
  /** Failure domain of this entry. */
  readonly domain: string
}

export class Inquiries {
  readonly #options: InquiriesOptions
  readonly #inquiries = new Map<CallId, Inquiry>()
  /** By service, since when its servers do not report their load, and how many answers said so. */
  readonly #silent = new Map<string, { answers: number; until: number }>()

  constructor(options: InquiriesOptions) {
    this.#options = options
  }

  /** Asks servers for the call; false when none may be asked. */
  start(call: Call, host: InquiryHost, now: number, effects: Effect[]): boolean {
    if (now < (this.#silent.get(call.service)?.until ?? 0)) return false
    const inquiry: Inquiry = {
      call,
      host,
      since: now,
      asked: new Set(),
      answers: [],
      open: new Set(),
      decideAt: now,
      isPausing: false,
    }
    if (!this.#ask(inquiry, now, effects)) return false
    this.#inquiries.set(call.id, inquiry)
    return true
  }

  answered(id: CallId, server: ServerId, result: InquiryResult, now: number): readonly Effect[] {
    const effects: Effect[] = []
    const inquiry = this.#inquiries.get(id)
    if (inquiry?.open.delete(server) !== true) return effects
    const record = inquiry.host.records.find((candidate) => candidate.server.id === server)
    if (record !== undefined) this.#note(inquiry, record, result, now)
    this.#advance(inquiry, now, effects)
    return effects
  }

  /** The call ended. */
  cancel(id: CallId): boolean {
    return this.#inquiries.delete(id)
  }

  tick(now: number, effects: Effect[]): void {
    for (const inquiry of [...this.#inquiries.values()]) {
      if (now < inquiry.decideAt) continue
      if (inquiry.isPausing) this.#askAgain(inquiry, now, effects)
      else this.#decide(inquiry, now, effects)
    }
  }

  nextWake(): number {
    let next = Number.POSITIVE_INFINITY
    for (const { decideAt } of this.#inquiries.values()) next = Math.min(next, decideAt)
    return next
  }

  #note(inquiry: Inquiry, record: ServerRecord, result: InquiryResult, now: number): void {
    switch (result.kind) {
      case 'load': {
        this.#silent.delete(inquiry.call.service)
        const cold = coldCost(inquiry.host, record, now)
        inquiry.answers.push({ record, ...costOf(result.load, cold) })
        return
      }
      case 'no-load': {
        const known = this.#silent.get(inquiry.call.service) ?? { answers: 0, until: 0 }
        known.answers += 1
        if (known.answers % SILENT_ANSWERS === 0) known.until = now + SILENT_SERVICE_PAUSE
        this.#silent.set(inquiry.call.service, known)
        return
      }
      case 'refused':
        record.noteRefusal(now)
        inquiry.answers.push({ record, cost: Number.POSITIVE_INFINITY, isFull: true })
    }
  }

  #advance(inquiry: Inquiry, now: number, effects: Effect[]): void {
    const best = bestOf(inquiry)
    if (best !== undefined && best.cost <= GOOD_COST) this.#send(inquiry, best.record, now, effects)
    else if (inquiry.open.size === 0 && !inquiry.isPausing) this.#decide(inquiry, now, effects)
  }

  /** No answer was good: asks further servers, waits a little, or takes the best. */
  #decide(inquiry: Inquiry, now: number, effects: Effect[]): void {
    const best = bestOf(inquiry)
    if (best !== undefined && best.cost <= GOOD_COST) {
      this.#send(inquiry, best.record, now, effects)
      return
    }
    if (inquiry.asked.size < MOST_ASKED && this.#ask(inquiry, now, effects)) return
    const { call, host } = inquiry
    if (call.onlyIfFree === true) {
      this.#inquiries.delete(call.id)
      host.refuse(call, effects)
      return
    }
    const patience = (call.target ?? call.deadline - inquiry.since) * PATIENCE
    if (best !== undefined && !best.isFull && (best.cost <= 2 || now - inquiry.since >= patience)) {
      this.#send(inquiry, best.record, now, effects)
      return
    }
    if (now - inquiry.since < patience) {
      inquiry.isPausing = true
      inquiry.decideAt = now + PAUSE
      return
    }
    this.#inquiries.delete(call.id)
    const everyoneIsFull = inquiry.answers.length > 0 && inquiry.answers.every(({ isFull }) => isFull)
    if (everyoneIsFull) host.refuse(call, effects)
    else host.proceed(call, now, effects)
  }

  #askAgain(inquiry: Inquiry, now: number, effects: Effect[]): void {
    inquiry.isPausing = false
    inquiry.asked.clear()
    inquiry.answers = []
    if (!this.#ask(inquiry, now, effects)) {
      this.#inquiries.delete(inquiry.call.id)
      inquiry.host.proceed(inquiry.call, now, effects)
    }
  }

  #send(inquiry: Inquiry, record: ServerRecord, now: number, effects: Effect[]): void {
    this.#inquiries.delete(inquiry.call.id)
    inquiry.host.send(inquiry.call, record, now, effects)
  }

  #ask(inquiry: Inquiry, now: number, effects: Effect[]): boolean {
    const servers = this.#candidates(inquiry, now)
    if (servers.length === 0) return false
    for (const { server } of servers) inquiry.asked.add(server.id)
    inquiry.open = new Set(servers.map(({ server }) => server.id))
    inquiry.decideAt = now + ROUND_LIMIT
    effects.push({ kind: 'inquire', call: inquiry.call.id, servers: [...inquiry.open] })
    return true
  }

  #candidates({ call, host, asked }: Inquiry, now: number): readonly ServerRecord[] {
    const rate = this.#options.perServerPerSecond() / MS_PER_SECOND
    const ranked = host.records
      .filter((record) => isUsable(record, now) && !asked.has(record.server.id))
      .filter((record) => call.tried?.includes(record.server.id) !== true && record.mayAsk(rate, SAVED_QUESTIONS, now))
      .map((record) => ({ record, cost: this.#expectedCost(host, record, now) }))
      .sort((left, right) => left.cost - right.cost)
      .slice(0, ASKED_AT_ONCE)
    for (const { record } of ranked) record.countQuestion()
    return ranked.map(({ record }) => record)
  }

  /** What is expected of a server before it is asked. */
  #expectedCost(host: InquiryHost, record: ServerRecord, now: number): number {
    const weight = 0.5 ** ((now - record.speedSeenAt) / SPEED_HALF_LIFE)
    const slowness = record.slowness * weight + UNKNOWN_SLOWNESS * (1 - weight)
    const occupancy = record.own / record.server.slots
    const distance = record.server.domain === this.#options.domain ? 0 : OTHER_DOMAIN_COST
    const jitter = (randomBelow(this.#options.random, JITTER_STEPS) / JITTER_STEPS) * JITTER
    const connection = now - record.answeredAt < CONNECTION_KEPT ? 0 : NO_CONNECTION_COST
    return slowness * coldCost(host, record, now) + occupancy + distance + connection + jitter
  }
}

/** A server that joined a moment ago works slowly; when all did, as after a restart of the entry, nothing is known. */
function coldCost(host: InquiryHost, record: ServerRecord, now: number): number {
  const largest = host.records.reduce((most, other) => Math.max(most, other.ramp(now)), 0)
  return record.ramp(now) < largest * WARM_SHARE ? COLD_COST : 1
}

function bestOf({ answers }: Inquiry): Answer | undefined {
  let best: Answer | undefined
  for (const answer of answers) if (best === undefined || answer.cost < best.cost) best = answer
  return best
}

/** Time that one more call takes at the server, relative to a call at a free server of usual speed. */
function costOf(load: Load, cold: number): { readonly cost: number; readonly isFull: boolean } {
  const { slots, inflight, queue, slowness = 1 } = load
  const busy = inflight + queue
  const rounds = Math.max(0, busy + 1 - slots) / slots
  const crowding = (busy + 1) / slots > CROWDED_SHARE ? CROWDED_COST : 0
  return { cost: slowness * (1 + rounds + crowding) * cold, isFull: busy >= slots + MOST_WAITING }
}
