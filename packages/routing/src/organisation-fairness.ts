/**
 * Fairness between the organisations whose calls one entry serves: which of them use more than their part, and which are
 * served too rarely to be deferred further. Counts decay, so that only the last seconds matter; the usual part of an
 * organisation is learned over minutes. Performs no I/O, and holds counts only for the organisations of the document.
 */
import type { OrganisationName } from '@bilberrystall/base'

/** Half-life in ms of the counts that decisions are based on. Bursts last some seconds. */
const RECENT_HALF_LIFE_MS = 5_000
/**
 * Half-life in ms of the usual part, so long that a burst of ten seconds raises it little. Of calls beyond the part only
 * as many are learned as the part allows; a lasting increase is learned within some half-lives.
 */
const USUAL_HALF_LIFE_MS = 300_000
/**
 * Calls are learned 10 to 20 s after they arrived. Otherwise an entry with a history of seconds takes the rate in a burst
 * for the usual one before it recognizes the burst.
 */
const LEARNING_DELAY_MS = 10_000
/**
 * Calls of equal organisations with which the usual parts begin. Before as many were learned, none is excessive: the
 * largest organisations would be deferred at each entry that starts.
 */
const PRIOR_CALLS = 100
/** Multiple of its part from which an organisation uses more than its part. */
const MAX_PART = 2
/** Recent calls beyond that, since few calls exceed a small part by chance. */
const MIN_EXCESS_CALLS = 5
/** Fraction of the share served over all organisations below which an organisation is not deferred. */
const UNDERSERVED = 0.5
/** Fraction of that share at which an organisation has caught up. */
const CAUGHT_UP = 0.9
/** The same for an organisation that uses more than its part: it may not take the slots of others to catch up. */
const CAUGHT_UP_BEYOND_PART = 0.55
/** Count of ended calls from which the share served is known; a single call counts for 33 s. */
const MIN_ENDED = 0.01

/**
 * - `usual`: nothing stands out.
 * - `excessive`: it uses more than its part of the calls.
 * - `underserved`: it is served too rarely to be deferred, for whatever reason.
 */
export type OrganisationStanding = 'usual' | 'excessive' | 'underserved'

export class OrganisationFairness {
  #counts = new Map<OrganisationName, Counts>()
  #total = new Counts()

  /** Keeps the counts of organisations that remain in the document. */
  configure(organisations: Iterable<OrganisationName>): void {
    const counts = new Map<OrganisationName, Counts>()
    for (const name of organisations) counts.set(name, this.#counts.get(name) ?? new Counts())
    this.#counts = counts
  }

  get size(): number {
    return this.#counts.size
  }

  /** Counts a call that was admitted. */
  arrived(organisation: OrganisationName, now: number): void {
    const own = this.#counts.get(organisation)
    if (own === undefined) return
    for (const counts of [own, this.#total]) {
      counts.recent.add(1, now)
      counts.usual.add(own.learnedShare, now)
    }
  }

  /** Counts the end of a call. */
  ended(organisation: OrganisationName, isServed: boolean, now: number): void {
    const own = this.#counts.get(organisation)
    if (own === undefined) return
    for (const counts of [own, this.#total]) {
      counts.ended.add(1, now)
      if (isServed) counts.served.add(1, now)
    }
  }

  standing(organisation: OrganisationName, now: number): OrganisationStanding {
    const own = this.#counts.get(organisation)
    if (own === undefined) return 'usual'
    const isExcessive = this.#isExcessive(own, now)
    own.isCatchingUp = this.#isUnderserved(own, isExcessive, now)
    if (own.isCatchingUp) return 'underserved'
    return isExcessive ? 'excessive' : 'usual'
  }

  /**
   * Compares the ratio of its calls to those of the others with the usual ratio, or with that of an equal part if this is
   * larger. Ratios, unlike shares, also recognize the larger of two organisations; the equal part spares small
   * organisations, which take little even at many times their rate.
   */
  #isExcessive(own: Counts, now: number): boolean {
    const organisations = this.#counts.size
    own.learnedShare = 1
    const recent = own.recent.read(now)
    const learned = this.#total.usual.read(now)
    if (organisations < 2 || learned < PRIOR_CALLS || recent < MIN_EXCESS_CALLS) return false
    const others = Math.max(0, this.#total.recent.read(now) - recent)
    const usual = own.usual.read(now) + PRIOR_CALLS / organisations
    const usualOthers = Math.max(1, learned + PRIOR_CALLS - usual)
    const part = Math.max(usual / usualOthers, 1 / (organisations - 1))
    const allowed = MAX_PART * part * others + MIN_EXCESS_CALLS
    own.learnedShare = Math.min(1, allowed / recent)
    return recent >= allowed
  }

  #isUnderserved(own: Counts, isExcessive: boolean, now: number): boolean {
    const ended = own.ended.read(now)
    if (ended < MIN_ENDED) return false
    const share = own.served.read(now) / ended
    const shareOfAll = this.#total.served.read(now) / Math.max(ended, this.#total.ended.read(now))
    const caughtUp = isExcessive ? CAUGHT_UP_BEYOND_PART : CAUGHT_UP
    return share < shareOfAll * (own.isCatchingUp ? caughtUp : UNDERSERVED)
  }
}

/** Counts of one organisation, or of all. */
class Counts {
  readonly recent = new DecayingCount(RECENT_HALF_LIFE_MS)
  readonly usual = new DelayedCount()
  readonly ended = new DecayingCount(RECENT_HALF_LIFE_MS)
  readonly served = new DecayingCount(RECENT_HALF_LIFE_MS)
  isCatchingUp = false
  /** Share of its next calls that counts for the usual part. */
  learnedShare = 1
}

class DecayingCount {
  readonly #halfLifeMs: number
  #value = 0
  #at = 0

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs
  }

  add(amount: number, now: number): void {
    this.#value = this.read(now) + amount
    this.#at = now
  }

  read(now: number): number {
    return this.#value * 0.5 ** (Math.max(0, now - this.#at) / this.#halfLifeMs)
  }
}

/** Count of the usual calls, without those that arrived a short time ago. */
class DelayedCount {
  readonly #count = new DecayingCount(USUAL_HALF_LIFE_MS)
  #interval = 0
  /** Calls of the current interval and of the one before. */
  #current = 0
  #previous = 0

  add(amount: number, now: number): void {
    this.#rotate(now)
    this.#current += amount
  }

  read(now: number): number {
    this.#rotate(now)
    return this.#count.read(now)
  }

  #rotate(now: number): void {
    const interval = Math.floor(now / LEARNING_DELAY_MS)
    if (interval === this.#interval) return
    const isNext = interval === this.#interval + 1
    this.#count.add(isNext ? this.#previous : this.#previous + this.#current, now)
    this.#previous = isNext ? this.#current : 0
    this.#current = 0
    this.#interval = interval
  }
}
