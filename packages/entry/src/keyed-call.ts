/** Handles the idempotency key of a call. Calls without a key run directly, without overhead. */
import { createHash } from 'node:crypto'
import type { CodeName } from '@bilberrystall/base'
import { acceptKey, MAX_KEPT_BODY, type Decision, type Ending } from '@bilberrystall/claims'
import type { Document, Route } from '@bilberrystall/document'
import type { CallEnvironment } from './call-environment'
import type { Claim } from './claim-gate'
import type { Head, ResponseHead } from './head'
import type { RequestBody } from './request-body'

export interface KeyedCallOptions {
  readonly head: Head
  readonly route: Route
  readonly document: Document
  readonly environment: CallEnvironment
}

export interface ClaimResult {
  readonly run: () => void
  readonly refused: (code: CodeName, fields?: Readonly<Record<string, string>>, members?: object) => void
  readonly replay: (ending: Extract<Ending, { kind: 'response' }>) => void
}

export class KeyedCall {
  readonly #options: KeyedCallOptions
  #claim: Claim | undefined
  #head: ResponseHead | undefined
  #parts: Buffer[] = []
  #bytes = 0

  constructor(options: KeyedCallOptions) {
    this.#options = options
  }

  claim(body: RequestBody, runMs: number, result: ClaimResult): void {
    const { head, route, document, environment } = this.#options
    if (route.key === 'none' || route.repeatable || (head.key === undefined && route.key === 'optional')) {
      result.run()
      return
    }
    if (head.key === undefined) {
      result.refused('keyRequired')
      return
    }
    const accepted = acceptKey(head.key, environment.clock.unix(), document.keyRetentionMs)
    if (accepted.isErr()) {
      result.refused(accepted.error.code)
      return
    }
    if (environment.claims === undefined) {
      result.refused('claimUnavailable')
      return
    }
    const { key, time } = accepted.value
    const fingerprint = fingerprintOf(head, route, body)
    const ask = { key, keyTime: time, fingerprint, retentionMs: document.keyRetentionMs, runMs }
    environment.claims.ask(ask, (decision, claim) => {
      this.#decided(decision, claim, result)
    })
  }

  responded(head: ResponseHead): void {
    if (this.#claim !== undefined) this.#head = head
  }

  /** Collects the response body for a replay, up to the size limit of stored bodies. */
  observe(part: Buffer): void {
    if (this.#claim === undefined) return
    this.#bytes += part.length
    if (this.#bytes <= MAX_KEPT_BODY) this.#parts.push(Buffer.from(part))
  }

  settle(outcome: 'complete' | 'not-run' | 'unknown'): void {
    const claim = this.#claim
    this.#claim = undefined
    if (outcome === 'not-run') claim?.release()
    else claim?.complete(outcome === 'complete' ? this.#ending() : { kind: 'unknown' })
  }

  #ending(): Ending {
    const head = this.#head
    if (head === undefined) return { kind: 'unknown' }
    const type = head.contentType === undefined ? {} : { contentType: head.contentType }
    const body = this.#bytes <= MAX_KEPT_BODY ? { body: new Uint8Array(Buffer.concat(this.#parts)) } : {}
    return { kind: 'response', status: head.status, ...type, ...body }
  }

  #decided(decision: Decision, claim: Claim, result: ClaimResult): void {
    switch (decision.kind) {
      case 'run':
        this.#claim = claim
        result.run()
        return
      case 'replay':
        result.replay(decision.ending)
        return
      case 'already-run':
        result.refused('keyAlreadyRun', {}, { firstStatus: decision.status })
        return
      case 'in-progress':
        result.refused('keyInProgress')
        return
      case 'unknown':
        result.refused('keyOutcomeUnknown')
        return
      case 'mismatch':
        result.refused('keyMismatch')
        return
      case 'expired':
        result.refused('keyExpired')
        return
      case 'table-full':
        result.refused('claimTableFull')
        return
      case 'unavailable':
        result.refused('claimUnavailable')
    }
  }
}

/**
 * Hashes what identifies a request. The host is left out, since the same call sent through another entry may name that
 * entry. A body that is not buffered is represented by its length only.
 */
function fingerprintOf(head: Head, route: Route, body: RequestBody): string {
  const hash = createHash('sha256').update(`${route.service}\0${head.method}\0${head.target}\0`)
  const { whole } = body
  if (whole === undefined) hash.update(`length ${head.bodyLength ?? 'unknown'}`)
  else hash.update(whole)
  return hash.digest('hex').slice(0, 32)
}
