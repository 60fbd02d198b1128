/**
 * Document changes. The checks are made in this order: change id, number of environments, base revision, content. The
 * result of each change id is recorded, so a repeated change gets the first response and has no second effect.
 */
import { failure, resultCode, type CodeName, type Digest, type Fault } from '@bilberrystall/base'
import { amendDocument, parseDocument } from '@bilberrystall/document'
import type { AuditEvent } from './audit'
import { FAULTS_KEPT, type Amend, type Promote, type Submit } from './command'
import { sha256 } from './digest'
import {
  DOCUMENT_BYTES_LIMIT,
  ENVIRONMENTS_LIMIT,
  RESULTS_KEPT,
  REVISIONS_KEPT,
  TRIAL,
  currentRevision,
  currentVersion,
  documentInForce,
  type Accepted,
  type ChangeResult,
  type ControlState,
  type Refused,
} from './state'

export type Change = Submit | Amend | Promote

/** Version numbers chosen by the operator, which replace the base revision as the precondition of a change. */
type Numbering = Amend['numbering']

export interface ChangeApplied {
  readonly kind: 'change'
  readonly result: ChangeResult
  readonly repeated: boolean
}

export function applyChange(state: ControlState, change: Change): ChangeApplied {
  const digest = contentDigest(change)
  const numbering = numberingOf(change)
  // The change id of a versioned change is derived from its content. For an amendment it is the only digest that covers
  // all of the content.
  const fingerprint = numbering === undefined ? fingerprintOf(change, digest) : change.changeId
  const known = state.results.get(change.changeId)
  const applied = known === undefined ? decide(state, change, digest) : repeat(state, change, known, fingerprint)
  if (known === undefined && isKept(change, applied.result)) {
    keepResult(state, change.changeId, fingerprint, applied.result)
  }
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

function numberingOf(change: Change): Numbering | undefined {
  return change.kind === 'promote' ? undefined : change.numbering
}

/**
 * Whether the result is recorded for repeats. A refused versioned change may be accepted later, once the version that it
 * is based on is in force, so its refusal is not recorded.
 */
function isKept(change: Change, result: ChangeResult): boolean {
  return numberingOf(change) === undefined || result.kind === 'accepted'
}

function decide(state: ControlState, change: Change, digest: Digest): ChangeApplied {
  const text = checkedText(state, change, digest)
  const result = typeof text === 'string' ? accept(state, change, text) : text
  return { kind: 'change', result, repeated: false }
}

/** Returns the document text to put in force, or the refusal. */
function checkedText(state: ControlState, change: Change, digest: Digest): string | Refused {
  if (!state.environments.has(change.environment) && state.environments.size >= ENVIRONMENTS_LIMIT) {
    return refuse(state, change, 'requestInvalid', `at most ${ENVIRONMENTS_LIMIT} environments are kept`)
  }
  const unmet = unmetCondition(state, change)
  if (unmet !== undefined) return unmet
  if (change.kind === 'promote') return promotedText(state, change, digest)
  if (change.kind === 'amend') return amendedText(state, change)
  if (change.content.validity === 'invalid') {
    return refuse(state, change, 'documentInvalid', undefined, change.content.faults)
  }
  if (Buffer.byteLength(change.content.text) > DOCUMENT_BYTES_LIMIT) return refuse(state, change, 'changeTooLarge')
  return change.content.text
}

/** Returns the refusal of a change that is not based on the revision or version in force. */
function unmetCondition(state: ControlState, change: Change): Refused | undefined {
  const numbering = numberingOf(change)
  if (numbering === undefined) {
    const current = currentRevision(state, change.environment)
    if (change.baseRevision === current) return undefined
    return refuse(state, change, 'revisionConflict', `base revision ${change.baseRevision}, in force is ${current}`)
  }
  const { version, base } = numbering
  const current = currentVersion(state, change.environment)
  if (base !== current) {
    return refuse(state, change, 'revisionConflict', `base version ${base}, in force is ${current}`)
  }
  if (version > current) return undefined
  return refuse(state, change, 'versionNotAbove', `version ${version}, in force is ${current}`)
}

function amendedText(state: ControlState, change: Amend): string | Refused {
  const text = amendDocument(documentInForce(state, change.environment)?.text ?? '', change.changed, change.removed)
  if (Buffer.byteLength(text) > DOCUMENT_BYTES_LIMIT) return refuse(state, change, 'changeTooLarge')
  const parsed = parseDocument(text)
  if (parsed.isOk()) return text
  return refuse(state, change, 'documentInvalid', undefined, parsed.error.slice(0, FAULTS_KEPT))
}

function promotedText(state: ControlState, change: Promote, digest: Digest): string | Refused {
  if (change.environment === TRIAL) {
    return refuse(state, change, 'requestInvalid', 'a promotion goes from trial to another environment')
  }
  const tested = state.environments.get(TRIAL)?.find((kept) => kept.revision === change.sourceRevision)
  if (tested?.digest !== digest) return refuse(state, change, 'notInTrial')
  return tested.text
}

function accept(state: ControlState, change: Change, text: string): Accepted {
  const digest = sha256(text)
  const version = numberingOf(change)?.version
  const revision = (currentRevision(state, change.environment) + 1) as Accepted['revision']
  const { changeId, requester } = change
  const kept = state.environments.get(change.environment) ?? []
  kept.push({
    revision,
    digest,
    text,
    at: state.clock,
    requester,
    changeId,
    ...(version === undefined ? {} : { version }),
  })
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
  if (change.kind === 'amend') return sha256(JSON.stringify([change.changed, change.removed]))
  return change.content.validity === 'valid' ? sha256(change.content.text) : change.content.digest
}

/**
 * Digest that identifies the change. Excludes requester and source, because a change may be resent from another
 * address.
 */
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
