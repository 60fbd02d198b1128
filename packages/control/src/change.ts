/**
 * Document changes. The checks are made in this order: change id, number of environments, base revision, content. The
 * result of each change id is recorded, so a repeated change gets the first response and has no second effect.
 */
import { failure, resultCode, type CodeName, type Digest, type Fault } from '@bilberrystall/base'
import { amendDocument, parseDocument } from '@bilberrystall/document'
import type { Result } from 'neverthrow'
import type { AuditEvent } from './audit'
import { MAX_REPORTED_FAULTS, type AmendCommand, type PromoteCommand, type SubmitCommand } from './command'
import { sha256 } from './digest'
import {
  MAX_DOCUMENT_BYTES,
  MAX_ENVIRONMENTS,
  MAX_CHANGE_RESULTS,
  MAX_REVISIONS,
  TRIAL_ENVIRONMENT,
  currentRevision,
  currentVersion,
  documentInForce,
  type AcceptedChange,
  type ChangeResult,
  type ControlState,
  type RefusedChange,
} from './state'

export type Change = SubmitCommand | AmendCommand | PromoteCommand

/**
 * Version numbers chosen by the operator, which replace the base revision as the precondition of a versioned change.
 */
type VersionNumbers = AmendCommand['numbering']

export interface ChangeCommandResult {
  readonly kind: 'change'
  readonly result: ChangeResult
  readonly repeated: boolean
}

export function applyChange(state: ControlState, change: Change): ChangeCommandResult {
  const digest = contentDigest(change)
  const numbering = versionNumbersOf(change)
  // The change id of a versioned change is derived from its content. For an amendment it is the only digest that covers
  // all of the content.
  const fingerprint = numbering === undefined ? fingerprintOf(change, digest) : change.changeId
  const recorded = state.results.get(change.changeId)
  const applied =
    recorded === undefined ? evaluateChange(state, change, digest) : resolveRepeat(state, change, recorded, fingerprint)
  if (recorded === undefined && isResultRecorded(change, applied.result)) {
    recordResult(state, change.changeId, fingerprint, applied.result)
  }
  state.audit.append(auditEvent(state, change, digest, applied))
  return applied
}

function resolveRepeat(
  state: ControlState,
  change: Change,
  recorded: { readonly fingerprint: string; readonly result: ChangeResult },
  fingerprint: string,
): ChangeCommandResult {
  if (recorded.fingerprint === fingerprint) return { kind: 'change', result: recorded.result, repeated: true }
  return { kind: 'change', result: refuseChange(state, change, 'changeIdReused'), repeated: false }
}

/** Result of a versioned change that was accepted. Its id is derived from its content, so it is the same change. */
export function acceptedVersionedChange(state: ControlState, change: Change): AcceptedChange | undefined {
  const result = versionNumbersOf(change) === undefined ? undefined : state.results.get(change.changeId)?.result
  return result?.kind === 'accepted' ? result : undefined
}

function versionNumbersOf(change: Change): VersionNumbers | undefined {
  return change.kind === 'promote' ? undefined : change.numbering
}

/**
 * Whether the result is recorded for repeats. A refused versioned change may be accepted later, once the version that
 * it is based on is in force, so its refusal is not recorded.
 */
function isResultRecorded(change: Change, result: ChangeResult): boolean {
  return versionNumbersOf(change) === undefined || result.kind === 'accepted'
}

function evaluateChange(state: ControlState, change: Change, digest: Digest): ChangeCommandResult {
  const text = resolveText(state, change, digest)
  const result = typeof text === 'string' ? acceptDocument(state, change, text) : text
  return { kind: 'change', result, repeated: false }
}

/** Returns the document text to put in force, or the refusal. */
function resolveText(state: ControlState, change: Change, digest: Digest): string | RefusedChange {
  if (!state.environments.has(change.environment) && state.environments.size >= MAX_ENVIRONMENTS) {
    return refuseChange(state, change, 'requestInvalid', `at most ${MAX_ENVIRONMENTS} environments are kept`)
  }
  const refusal = checkPrecondition(state, change)
  if (refusal !== undefined) return refusal
  if (change.kind === 'promote') return promotedText(state, change, digest)
  if (change.kind === 'amend') return amendedText(state, change)
  if (change.content.validity === 'invalid') {
    return refuseChange(state, change, 'documentInvalid', undefined, change.content.faults)
  }
  if (Buffer.byteLength(change.content.text) > MAX_DOCUMENT_BYTES) return refuseChange(state, change, 'changeTooLarge')
  return change.content.text
}

/** Returns the refusal of a change that is not based on the revision or version in force. */
function checkPrecondition(state: ControlState, change: Change): RefusedChange | undefined {
  const numbering = versionNumbersOf(change)
  if (numbering === undefined) {
    const current = currentRevision(state, change.environment)
    if (change.baseRevision === current) return undefined
    return refuseChange(
      state,
      change,
      'revisionConflict',
      `base revision ${change.baseRevision}, in force is ${current}`,
    )
  }
  const { version, base } = numbering
  const current = currentVersion(state, change.environment)
  if (base !== current) {
    return refuseChange(state, change, 'revisionConflict', `base version ${base}, in force is ${current}`)
  }
  if (version > current) return undefined
  return refuseChange(state, change, 'versionNotAbove', `version ${version}, in force is ${current}`)
}

function amendedText(state: ControlState, change: AmendCommand): string | RefusedChange {
  const text = amendedDocument(state, change)
  if (text.isOk() && Buffer.byteLength(text.value) > MAX_DOCUMENT_BYTES) {
    return refuseChange(state, change, 'changeTooLarge')
  }
  const parsed = text.andThen(parseDocument)
  if (text.isOk() && parsed.isOk()) return text.value
  const faults = parsed.isErr() ? parsed.error : []
  return refuseChange(state, change, 'documentInvalid', undefined, faults.slice(0, MAX_REPORTED_FAULTS))
}

/** The text of the document in force with the change. */
export function amendedDocument(state: ControlState, change: AmendCommand): Result<string, readonly Fault[]> {
  const inForce = documentInForce(state, change.environment)?.text ?? ''
  return amendDocument(inForce, change.changed, change.removed).mapErr((fault) => [fault])
}

function promotedText(state: ControlState, change: PromoteCommand, digest: Digest): string | RefusedChange {
  if (change.environment === TRIAL_ENVIRONMENT) {
    return refuseChange(state, change, 'requestInvalid', 'a promotion goes from trial to another environment')
  }
  const trialDocument = state.environments
    .get(TRIAL_ENVIRONMENT)
    ?.find((kept) => kept.revision === change.sourceRevision)
  if (trialDocument?.digest !== digest) return refuseChange(state, change, 'notInTrial')
  return trialDocument.text
}

function acceptDocument(state: ControlState, change: Change, text: string): AcceptedChange {
  const digest = sha256(text)
  const version = versionNumbersOf(change)?.version
  const revision = (currentRevision(state, change.environment) + 1) as AcceptedChange['revision']
  const { changeId, requester } = change
  const documents = state.environments.get(change.environment) ?? []
  documents.push({
    revision,
    digest,
    text,
    at: state.clock,
    requester,
    changeId,
    ...(version === undefined ? {} : { version }),
  })
  if (documents.length > MAX_REVISIONS) documents.shift()
  state.environments.set(change.environment, documents)
  return { kind: 'accepted', revision, digest }
}

function refuseChange(
  state: ControlState,
  change: Change,
  code: CodeName,
  message?: string,
  faults?: readonly Fault[],
): RefusedChange {
  const current = currentRevision(state, change.environment)
  const refused: RefusedChange = { kind: 'refused', ...failure(code, message), currentRevision: current }
  return faults === undefined ? refused : { ...refused, faults }
}

function recordResult(state: ControlState, changeId: string, fingerprint: string, result: ChangeResult): void {
  state.results.set(changeId, { fingerprint, result })
  if (state.results.size <= MAX_CHANGE_RESULTS) return
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

function auditEvent(state: ControlState, change: Change, digest: Digest, applied: ChangeCommandResult): AuditEvent {
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
