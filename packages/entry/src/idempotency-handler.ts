/** Handles the idempotency key of a call. Calls without a key run directly, without overhead. */
import { createHash } from 'node:crypto'
import type { CodeName } from '@bilberrystall/base'
import { acceptKey, type Decision, type Ending } from '@bilberrystall/claims'
import type { Document, Route } from '@bilberrystall/document'
import type { CallDependencies } from './call-dependencies'
import type { Claim } from './claim-coordinator'
import type { RequestHead, ResponseHead } from './head'
import type { RequestBody } from './request-body'
import { ResponseRecording } from './response-recording'

export interface IdempotencyHandlerOptions {
  readonly head: RequestHead
  readonly route: Route
  readonly document: Document
  readonly dependencies: CallDependencies
}

export interface ClaimCallbacks {
  readonly run: () => void
  readonly refused: (code: CodeName, fields?: Readonly<Record<string, string>>, members?: object) => void
  readonly replay: (ending: Extract<Ending, { kind: 'response' }>) => void
}

export class IdempotencyHandler {
  readonly #options: IdempotencyHandlerOptions
  #claim: Claim | undefined

  constructor(options: IdempotencyHandlerOptions) {
    this.#options = options
  }

  claim(body: RequestBody, runMs: number, callbacks: ClaimCallbacks): void {
    const { head, route, document, dependencies } = this.#options
    if (route.key === 'none' || route.repeatable || (head.idempotencyKey === undefined && route.key === 'optional')) {
      callbacks.run()
      return
    }
    if (head.idempotencyKey === undefined) {
      callbacks.refused('keyRequired')
      return
    }
    const accepted = acceptKey(head.idempotencyKey, dependencies.clock.unix(), document.keyRetentionMs)
    if (accepted.isErr()) {
      callbacks.refused(accepted.error.code)
      return
    }
    if (dependencies.claims === undefined) {
      callbacks.refused('claimUnavailable')
      return
    }
    const { key, time } = accepted.value
    const fingerprint = requestFingerprint(head, route, body)
    const parameters = { key, keyTime: time, fingerprint, retentionMs: document.keyRetentionMs, runMs }
    dependencies.claims.claim(parameters, (decision, claim) => {
      this.#onDecision(decision, claim, callbacks)
    })
  }

  /** Whether the response will be stored for a replay. */
  get hasClaim(): boolean {
    return this.#claim !== undefined
  }

  /** Returns a recording of a response that begins with `head`, if the response will be stored. */
  record(head: ResponseHead): ResponseRecording | undefined {
    return this.#claim === undefined ? undefined : new ResponseRecording(head)
  }

  /** The call got the recorded response. */
  complete(recording: ResponseRecording | undefined): void {
    this.#takeClaim()?.complete(recording?.ending() ?? { kind: 'unknown' })
  }

  settle(outcome: 'not-run' | 'unknown'): void {
    const claim = this.#takeClaim()
    if (outcome === 'not-run') claim?.release()
    else claim?.complete({ kind: 'unknown' })
  }

  #takeClaim(): Claim | undefined {
    const claim = this.#claim
    this.#claim = undefined
    return claim
  }

  #onDecision(decision: Decision, claim: Claim, callbacks: ClaimCallbacks): void {
    switch (decision.kind) {
      case 'run':
        this.#claim = claim
        callbacks.run()
        return
      case 'replay':
        callbacks.replay(decision.ending)
        return
      case 'already-run':
        callbacks.refused('keyAlreadyRun', {}, { firstStatus: decision.status })
        return
      case 'in-progress':
        callbacks.refused('keyInProgress')
        return
      case 'unknown':
        callbacks.refused('keyOutcomeUnknown')
        return
      case 'mismatch':
        callbacks.refused('keyMismatch')
        return
      case 'expired':
        callbacks.refused('keyExpired')
        return
      case 'table-full':
        callbacks.refused('claimTableFull')
        return
      case 'unavailable':
        callbacks.refused('claimUnavailable')
    }
  }
}

/**
 * Hashes what identifies a request. The host is left out, since the same call sent through another entry may name that
 * entry. A body that is not buffered is represented by its length only.
 */
function requestFingerprint(head: RequestHead, route: Route, body: RequestBody): string {
  const hash = createHash('sha256').update(`${route.service}\0${head.method}\0${head.target}\0`)
  const { buffered } = body
  if (buffered === undefined) hash.update(`length ${head.bodyLength ?? 'unknown'}`)
  else hash.update(buffered)
  return hash.digest('hex').slice(0, 32)
}
