/** Claims idempotency keys for calls: runs a `Claimant` over a transport with real timers. */
import { randomUUID } from 'node:crypto'
import { attemptId, type Environment, type IdempotencyKey, type NodeId } from '@bilberrystall/base'
import {
  Claimant,
  chooseHolders,
  rosterAt,
  type AddressedRequest,
  type Decision,
  type Ending,
  type HolderReply,
  type HolderRequest,
  type RosterEpoch,
} from '@bilberrystall/claims'
import type { Clock } from './limits'

/** A roster epoch takes effect 90 s after its proposal, so an older roster could lack the epoch in force. */
const ROSTER_MAX_AGE_MS = 50_000
/** Upper bound on the wait at shutdown. Reachable holders answer within milliseconds. */
const SETTLE_TIMEOUT_MS = 1_000

export interface ClaimTransport {
  /** Sends a request to a holder. Resolves to `unreachable` if no reply arrives. */
  readonly deliver: (holder: NodeId, request: HolderRequest) => Promise<HolderReply>
}

/** The roster as of the last confirmed read from control. */
export interface Roster {
  readonly history: readonly RosterEpoch[]
  /** Monotonic time in ms at which the read was sent. */
  readonly confirmedAt: number
}

export interface ClaimCoordinatorOptions {
  readonly environment: Environment
  readonly transport: ClaimTransport
  readonly roster: () => Roster
  readonly clock: Clock
}

export interface ClaimParameters {
  readonly key: IdempotencyKey
  readonly keyTime: number
  readonly fingerprint: string
  readonly retentionMs: number
  readonly runMs: number
}

/** A granted claim. Exactly one of the two methods is called when the request has ended. */
export interface Claim {
  readonly complete: (ending: Ending) => void
  readonly release: () => void
}

export class ClaimCoordinator {
  readonly #options: ClaimCoordinatorOptions
  readonly #openClaims = new Set<ClaimDriver>()
  #onSettled: (() => void) | undefined

  constructor(options: ClaimCoordinatorOptions) {
    this.#options = options
  }

  /**
   * Starts a claim and reports its decision once. After the decision `run`, the caller of this method owns the claim.
   */
  claim(parameters: ClaimParameters, decided: (decision: Decision, claim: Claim) => void): void {
    const { roster, clock, environment, transport } = this.#options
    const { history, confirmedAt } = roster()
    const isCurrent = clock.monotonic() - confirmedAt <= ROSTER_MAX_AGE_MS
    const entries = isCurrent ? (rosterAt(history, parameters.keyTime)?.entries ?? []) : []
    const use = {
      key: parameters.key,
      attempt: attemptId(randomUUID()),
      fingerprint: parameters.fingerprint,
      scope: environment,
      retentionMs: parameters.retentionMs,
    }
    const claimant = new Claimant({ use, holders: chooseHolders(parameters.key, entries), runMs: parameters.runMs })
    const driver = new ClaimDriver({
      claimant,
      transport,
      clock,
      decided,
      closed: () => {
        this.#openClaims.delete(driver)
        if (this.#openClaims.size === 0) this.#onSettled?.()
      },
    })
    this.#openClaims.add(driver)
    driver.start()
  }

  /** Resolves when all open claims are closed, or after `timeoutMs` if holders are unreachable. */
  async settled(timeoutMs = SETTLE_TIMEOUT_MS): Promise<void> {
    if (this.#openClaims.size > 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, timeoutMs)
        this.#onSettled = () => {
          clearTimeout(timer)
          resolve()
        }
      })
    }
    for (const driver of this.#openClaims) driver.stop()
  }
}

interface ClaimDriverOptions {
  readonly claimant: Claimant
  readonly transport: ClaimTransport
  readonly clock: Clock
  readonly decided: (decision: Decision, claim: Claim) => void
  readonly closed: () => void
}

class ClaimDriver {
  readonly #options: ClaimDriverOptions
  #decisionReported = false
  #stopped = false
  #timer: NodeJS.Timeout | undefined

  constructor(options: ClaimDriverOptions) {
    this.#options = options
  }

  stop(): void {
    this.#stopped = true
    clearTimeout(this.#timer)
  }

  start(): void {
    this.#apply(this.#options.claimant.start(this.#now()))
  }

  #apply(requests: readonly AddressedRequest[]): void {
    for (const { holder, request } of requests) void this.#deliver(holder, request)
    this.#armTimer()
    const { claimant, decided, closed } = this.#options
    if (claimant.closed) closed()
    const { decision } = claimant
    if (decision === undefined || this.#decisionReported) return
    this.#decisionReported = true
    decided(decision, {
      complete: (ending) => {
        this.#apply(this.#options.claimant.complete(ending, this.#now()))
      },
      release: () => {
        this.#apply(this.#options.claimant.release(this.#now()))
      },
    })
  }

  async #deliver(holder: NodeId, request: HolderRequest): Promise<void> {
    const reply = await this.#options.transport.deliver(holder, request)
    this.#apply(this.#options.claimant.receive(holder, request.kind, reply, this.#now()))
  }

  #armTimer(): void {
    clearTimeout(this.#timer)
    const { wakeAt } = this.#options.claimant
    if (this.#stopped || !Number.isFinite(wakeAt)) return
    const delay = Math.max(1, Math.ceil(wakeAt - this.#now()))
    this.#timer = setTimeout(() => {
      this.#apply(this.#options.claimant.tick(this.#now()))
    }, delay)
  }

  #now(): number {
    return this.#options.clock.monotonic()
  }
}
