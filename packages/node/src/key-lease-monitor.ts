/** Applies the key lease to an entry: reads the clocks, logs when the lease ends and returns, asks for early renewals. */
import { uptime } from 'node:os'
import type { Document } from '@bilberrystall/document'
import type { KeyRevocation } from './adapter'
import { KeyLease, type ClockReading, type KeyLeaseState, type RevisionRead } from './key-lease'
import type { Log } from './log'
import type { Metrics } from './metrics'

const MS_PER_SECOND = 1000
/** Added to the time of expiry, because timers may run early. */
const TIMER_MARGIN_MS = 5

export interface KeyLeaseMonitorOptions {
  /** Undefined without strict revocation: keys are always accepted. */
  readonly revocation: KeyRevocation | undefined
  /** Revision of the document in use, and whether it requires keys. */
  readonly inUse: () => { readonly revision: number; readonly requiresKeys: Document['requiresKeys'] }
  readonly renewNow: () => void
  readonly log: Log
  readonly metrics: Metrics
  /** Monotonic milliseconds. */
  readonly now: () => number
  /** Unix milliseconds. */
  readonly wallClock: () => number
  /** Milliseconds since boot, default those of the operating system. */
  readonly sinceBoot?: () => number
}

export class KeyLeaseMonitor {
  readonly #options: KeyLeaseMonitorOptions
  readonly #lease: KeyLease | undefined
  /** State at the last check; undefined before the first valid lease, whose absence is no change. */
  #state: KeyLeaseState | undefined
  #endedAt = 0
  #expiryTimer: NodeJS.Timeout | undefined

  constructor(options: KeyLeaseMonitorOptions) {
    this.#options = options
    const { revocation, metrics } = options
    if (revocation === undefined) return
    this.#lease = new KeyLease(revocation)
    metrics.gauge('keys_confirmed', 'Whether this entry may accept keys of organisations', () =>
      Number(this.areKeysConfirmed()),
    )
  }

  /** Whether keys that the document in use names may be accepted now. */
  areKeysConfirmed(): boolean {
    return this.#check()?.kind !== 'ended'
  }

  renewed(read: RevisionRead): void {
    this.#lease?.renewed(read, this.#clocks())
    const state = this.#check()
    clearTimeout(this.#expiryTimer)
    if (state?.kind !== 'valid') return
    this.#expiryTimer = setTimeout(() => {
      this.#check()
    }, state.leftMs + TIMER_MARGIN_MS)
    this.#expiryTimer.unref()
  }

  /** A document came into use. If it is the first with organisations, the last read is older than their leases allow. */
  documentInUse(): void {
    if (this.#lease !== undefined && this.#options.inUse().requiresKeys && !this.areKeysConfirmed()) {
      this.#options.renewNow()
    }
  }

  stop(): void {
    clearTimeout(this.#expiryTimer)
  }

  #check(): KeyLeaseState | undefined {
    if (this.#lease === undefined) return undefined
    const { revision, requiresKeys } = this.#options.inUse()
    const state = this.#lease.check(revision, this.#clocks())
    // Without organisations leases are renewed less often than the bound allows, which concerns no caller.
    if (requiresKeys) this.#observe(state)
    else this.#state = undefined
    return state
  }

  #observe(state: KeyLeaseState): void {
    const { log, now, renewNow } = this.#options
    const before = this.#state
    if (before === undefined && state.kind === 'ended') return
    this.#state = state
    if (state.kind === 'ended' && before?.kind === 'valid') {
      this.#endedAt = now()
      log.warn('keyLeaseEnded', { reason: state.reason })
      if (state.reason === 'clocks') renewNow()
    }
    if (state.kind === 'valid' && before?.kind === 'ended') {
      log.info('keyLeaseReturned', { ms: Math.round(now() - this.#endedAt) })
    }
  }

  #clocks(): ClockReading {
    const { now, wallClock, sinceBoot = () => uptime() * MS_PER_SECOND } = this.#options
    return { monotonic: now(), sinceBoot: sinceBoot(), timeOfDay: wallClock() }
  }
}
