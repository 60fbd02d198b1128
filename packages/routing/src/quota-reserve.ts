/**
 * Requests that an entry may admit without a share of an organisation's quota. They are taken from the tolerance on the
 * quota: all entries together have a fixed number of requests in any window, divided by the entries that are live. If it
 * is smaller than the number of entries, the weights of rendezvous hashing choose the entries that get one.
 */
import { rendezvousWeight } from '@bilberrystall/base'
import { reservedRequests, type QuotaBounds, type QuotaLimit } from './quota-limit'

/** Entries that were not seen for this time no longer count; a partition must not enlarge the reserve of its parts. */
const MEMBER_RETENTION_MS = 60_000
/** An entry that has not reached the leader for this time has no reserve, because others have stopped to count it. */
export const RESERVE_RETENTION_MS = 30_000
/** Memory for the times of admitted requests; only deployments with few entries would have a larger reserve. */
const MAX_RESERVE = 1_000

/** Entries that may use a reserve. */
export class ReserveMembers {
  readonly #self: string
  readonly #seen = new Map<string, number>()
  #version = 0

  constructor(self: string) {
    this.#self = self
  }

  /** Grows with each change of the members. */
  get version(): number {
    return this.#version
  }

  get ids(): Iterable<string> {
    return this.#seen.keys()
  }

  get size(): number {
    return Math.max(1, this.#seen.size)
  }

  observe(entries: readonly string[], now: number): void {
    for (const entry of [this.#self, ...entries]) {
      if (!this.#seen.has(entry)) this.#version += 1
      this.#seen.set(entry, now)
    }
    for (const [entry, seenAt] of this.#seen) {
      if (now - seenAt <= MEMBER_RETENTION_MS) continue
      this.#seen.delete(entry)
      this.#version += 1
    }
  }
}

export interface QuotaReserveOptions {
  readonly self: string
  readonly limit: QuotaLimit
  readonly bounds: QuotaBounds
  readonly members: ReserveMembers
}

export class QuotaReserve {
  readonly #options: Omit<QuotaReserveOptions, 'limit'>
  #limit: QuotaLimit
  #requests = 0
  #membersVersion = -1
  /** Times of the last requests, as many as a window allows. */
  #admittedAt: number[] = []
  #next = 0

  constructor({ limit, ...options }: QuotaReserveOptions) {
    this.#options = options
    this.#limit = limit
  }

  setLimit(limit: QuotaLimit): void {
    this.#limit = limit
    this.#membersVersion = -1
  }

  /** Admits a request if fewer than allowed were admitted in the window that ends now. */
  take(now: number): boolean {
    this.#update()
    if (this.#requests === 0) return false
    const oldest = this.#admittedAt[this.#next] ?? Number.NEGATIVE_INFINITY
    if (now - oldest <= this.#options.bounds.windowMs) return false
    this.#admittedAt[this.#next] = now
    this.#next = (this.#next + 1) % this.#requests
    return true
  }

  #update(): void {
    const { members, bounds } = this.#options
    if (members.version === this.#membersVersion) return
    this.#membersVersion = members.version
    const total = reservedRequests(this.#limit, bounds)
    const equal = Math.floor(total / members.size)
    const requests = Math.min(MAX_RESERVE, equal + (this.#rank() < total % members.size ? 1 : 0))
    if (requests === this.#requests) return
    this.#requests = requests
    // Keeps the latest times; the oldest is the next to be replaced.
    const times = this.#admittedAt.toSorted((left, right) => left - right).slice(-requests)
    this.#next = times.length % Math.max(1, requests)
    this.#admittedAt = times
  }

  /** Number of members with a higher weight for the organisation. */
  #rank(): number {
    const { self, members } = this.#options
    const { organisation } = this.#limit
    const own = rendezvousWeight(organisation, self)
    let rank = 0
    for (const id of members.ids) {
      if (id !== self && rendezvousWeight(organisation, id) > own) rank += 1
    }
    return rank
  }
}
