/**
 * Changes of documents. Order of the checks: change id, room, base revision, content. The result of every change id is
 * kept, so a repeat gets the first response and has no second effect.
 */
import { failure, resultCode, type CodeName, type Digest, type Fault } from '@bilberrystall/base'
import type { AuditEvent } from './audit'
import type { Promote, Submit } from './command'
import { sha256 } from './digest'
import {
  DOCUMENT_BYTES_LIMIT,
  ENVIRONMENTS_LIMIT,
  RESULTS_KEPT,
  REVISIONS_KEPT,
  TRIAL,
  currentRevision,
  type Accepted,
  type ChangeResult,
  type ControlState,
  type Refused,
} from './state'

export type Change = Submit | Promote

export interface ChangeApplied {
  readonly kind: 'change'
  readonly result: ChangeResult
  readonly repeated: boolean
}

export function applyChange(state: ControlState, change: Change): ChangeApplied {
  const digest = contentDigest(change)
  const fingerprint = fingerprintOf(change, digest)
  const known = state.results.get(change.changeId)
  const applied = known === undefined ? decide(state, change, digest) : repeat(state, change, known, fingerprint)
  if (known === undefined) keepResult(state, change.changeId, fingerprint, applied.result)
  state.audit.append(auditEvent(state, change, digest, applied))
  return applied
}

function repeat(
  state: ControlState,
  change: Change,
  known: { readonly fingerprint: string; readonly result: ChangeResult },
  fingerprint: string,
): ChangeApplied {
  if (known.fingerprint === fingerprint) return { kind: 'change', result: known.result, repeated: true }
  return { kind: 'change', result: refuse(state, change, 'changeIdReused'), repeated: false }
}

function decide(state: ControlState, change: Change, digest: Digest): ChangeApplied {
  const text = checkedText(state, change, digest)
  const result = typeof text === 'string' ? accept(state, change, digest, text) : text
  return { kind: 'change', result, repeated: false }
}

/** Text of the document to put in force, or the refusal. */
function checkedText(state: ControlState, change: Change, digest: Digest): string | Refused {
  if (!state.environments.has(change.environment) && state.environments.size >= ENVIRONMENTS_LIMIT) {
    return refuse(state, change, 'requestInvalid', `at most ${ENVIRONMENTS_LIMIT} environments are kept`)
  }
  const current = currentRevision(state, change.environment)
  if (change.baseRevision !== current) {
    return refuse(state, change, 'revisionConflict', `base revision ${change.baseRevision}, in force is ${current}`)
  }
  if (change.kind === 'promote') return promotedText(state, change, digest)
  if (change.content.validity === 'invalid') {
    return refuse(state, change, 'documentInvalid', undefined, change.content.faults)
  }
  if (Buffer.byteLength(change.content.text) > DOCUMENT_BYTES_LIMIT) return refuse(state, change, 'changeTooLarge')
  return change.content.text
}

function promotedText(state: ControlState, change: Promote, digest: Digest): string | Refused {
  if (change.environment === TRIAL) {
    return refuse(state, change, 'requestInvalid', 'a promotion goes from trial to another environment')
  }
  const tested = state.environments.get(TRIAL)?.find((kept) => kept.revision === change.sourceRevision)
  if (tested?.digest !== digest) return refuse(state, change, 'notInTrial')
  return tested.text
}

function accept(state: ControlState, change: Change, digest: Digest, text: string): Accepted {
  const revision = (currentRevision(state, change.environment) + 1) as Accepted['revision']
  const { changeId, requester } = change
  const kept = state.environments.get(change.environment) ?? []
  kept.push({ revision, digest, text, at: state.clock, requester, changeId })
  if (kept.length > REVISIONS_KEPT) kept.shift()
  state.environments.set(change.environment, kept)
  return { kind: 'accepted', revision, digest }
}

function refuse(
  state: ControlState,
  change: Change,
  code: CodeName,
  message?: string,
  faults?: readonly Fault[],
): Refused {
  const current = currentRevision(state, change.environment)
  const refused: Refused = { kind: 'refused', ...failure(code, message), currentRevision: current }
  return faults === undefined ? refused : { ...refused, faults }
}

function keepResult(state: ControlState, changeId: string, fingerprint: string, result: ChangeResult): void {
  state.results.set(changeId, { fingerprint, result })
  if (state.results.size <= RESULTS_KEPT) return
  for (const oldest of state.results.keys()) {
    state.results.delete(oldest)
    return
  }
}

function contentDigest(change: Change): Digest {
  if (change.kind === 'promote') return change.digest
  return change.content.validity === 'valid' ? sha256(change.content.text) : change.content.digest
}

/** Requester and source are left out: the same person may resend from another address. */
function fingerprintOf(change: Change, digest: Digest): string {
  const source = change.kind === 'promote' ? change.sourceRevision : null
  return sha256(JSON.stringify([change.kind, change.environment, change.baseRevision, source, digest]))
}

function auditEvent(state: ControlState, change: Change, digest: Digest, applied: ChangeApplied): AuditEvent {
  const event: AuditEvent = {
    at: state.clock,
    operation: change.kind,
    requester: change.requester,
    source: change.source,
    changeId: change.changeId,
    environment: change.environment,
    digest,
    revision: currentRevision(state, change.environment),
    result: applied.result.kind === 'accepted' ? 'ok' : resultCode(applied.result.code).name,
  }
  return applied.repeated ? { ...event, repeated: true } : event
}
