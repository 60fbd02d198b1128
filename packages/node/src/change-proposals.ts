/**
 * Validates operator requests on the leader and proposes them to the control log. The document that results from a
 * request is checked once all changes before it are applied, so that the log never accepts an invalid one.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { failure, logIndex, term, type Fault, type Term } from '@bilberrystall/base'
import {
  MAX_DOCUMENT_BYTES,
  MAX_REPORTED_FAULTS,
  TRIAL_ENVIRONMENT,
  acceptedVersionedChange,
  amendedDocument,
  currentRevision,
  currentVersion,
  emptyState,
  sha256,
  type Command,
  type ControlState,
  type DepartCommand,
  type PromoteCommand,
  type SubmitCommand,
} from '@bilberrystall/control'
import type { Status } from '@bilberrystall/consensus'
import type { Result } from 'neverthrow'
import { isAcknowledgedCommand, retry, type AcknowledgedCommand, type AttemptOutcome } from './change-outcome'
import type { ProposalOutcome, ReplicaHost } from './control-replica'
import { nodeIdOf } from './control-transport'

const ATTEMPT_TIMEOUT_MS = 6_000
const APPLIED_POLL_INTERVAL_MS = 5
const MAX_FAULT_TEXT_LENGTH = 300

/** The part of `ReplicaHost` that submitting needs; nodes without a replica use `NON_LEADER_HOST`. */
export interface ProposalHost {
  readonly propose: ReplicaHost['propose']
  readonly status: () => Pick<Status, 'role' | 'leader' | 'replicas' | 'term' | 'applied' | 'lastIndex'>
  /** State after the last applied command. */
  readonly state: ControlState
}

/** Host of nodes without a replica. It is never the leader, so every request is forwarded to a control node. */
export const NON_LEADER_HOST: ProposalHost = {
  propose: () => Promise.resolve({ kind: 'failed', failure: failure('notLeader'), leader: undefined }),
  status: () => ({
    role: 'idle',
    leader: undefined,
    replicas: [],
    term: term(0),
    applied: logIndex(0),
    lastIndex: logIndex(0),
  }),
  state: emptyState(),
}

export interface ChangeProposalsOptions {
  readonly host: ProposalHost
  readonly checkDocument: (text: string) => Result<unknown, readonly Fault[]>
  /** Milliseconds since the Unix epoch. */
  readonly wallClock: () => number
  /** Time for which a request waits until the changes before it are applied. */
  readonly attemptTimeoutMs?: number
  /**
   * Requests are accepted only with at least this many voters, so that they survive the configured number of losses.
   */
  readonly minVoters?: number
  /** Called on the leader before it acknowledges an accepted change, a departure or an evacuation order. */
  readonly beforeAcknowledgement?: (commit: Commit) => Promise<void>
}

export interface Commit {
  readonly command: AcknowledgedCommand
  /** Revision of the accepted change, 0 for a departure or an evacuation order. */
  readonly revision: number
  /** Time until the request was committed and applied. */
  readonly commitMs: number
}

export class ChangeProposals {
  readonly #options: ChangeProposalsOptions
  /** Term for which `#lastChange` is valid. */
  #term: Term | undefined
  /** No entry of the log behind this one changes a document. */
  #lastChange = 0

  constructor(options: ChangeProposalsOptions) {
    this.#options = options
  }

  /**
   * Proposes the command if this replica leads, and waits until its effect may be acknowledged. Once `signal` is aborted
   * the command is no longer proposed: its sender may have told the operator something else by then.
   */
  async propose(command: Command, signal?: AbortSignal): Promise<AttemptOutcome> {
    const { host } = this.#options
    const { role, leader, replicas } = host.status()
    if (role !== 'leader') return retry('not-leader', { leader: leader && nodeIdOf(leader) })
    const voters = replicas.filter((replica) => replica.role === 'voter').length
    if (voters < (this.#options.minVoters ?? 1)) return retry('too-few-voters')
    const startedAt = performance.now()
    const outcome = this.#knownOutcome(command) ?? (await this.#propose(command, signal))
    const revision = revisionOf(outcome)
    if (isAcknowledgedCommand(command) && revision !== undefined) {
      const commitMs = Math.round(performance.now() - startedAt)
      await this.#options.beforeAcknowledgement?.({ command, revision, commitMs })
    }
    return outcome
  }

  /**
   * The document that results from a partial change or a promotion depends on the changes before it, so it is checked
   * and proposed once all of them are applied.
   */
  async #propose(command: Command, signal: AbortSignal | undefined): Promise<AttemptOutcome> {
    const { host, wallClock, attemptTimeoutMs = ATTEMPT_TIMEOUT_MS } = this.#options
    const startTerm = host.status().term
    const giveUpAt = performance.now() + attemptTimeoutMs
    const dependsOnDocument = command.kind === 'amend' || command.kind === 'promote'
    while (dependsOnDocument && !this.#areChangesApplied()) {
      await sleep(APPLIED_POLL_INTERVAL_MS)
      const { role, term: currentTerm } = host.status()
      const isStale = role !== 'leader' || currentTerm !== startTerm || performance.now() > giveUpAt
      if (isStale) return retry('changes-not-applied')
    }
    if (signal?.aborted === true) return retry('abandoned')
    const proposed = host.propose({ ...this.#prepare(command), at: wallClock() })
    if (dependsOnDocument || command.kind === 'submit') this.#lastChange = host.status().lastIndex
    return attemptOutcome(await proposed)
  }

  /**
   * Outcome of a request that was sent again until it is acknowledged; what is applied is committed. A repeated change is
   * proposed for its audit record, which the response does not wait for.
   */
  #knownOutcome(command: Command): AttemptOutcome | undefined {
    const { state } = this.#options.host
    if (command.kind === 'depart') {
      return state.departures.get(command.server)?.start === command.start ? { kind: 'recorded' } : undefined
    }
    if (command.kind !== 'submit' && command.kind !== 'amend') return undefined
    const result = acceptedVersionedChange(state, command)
    if (result === undefined) return undefined
    void this.#propose(command, undefined)
    return { kind: 'change', result, repeated: true }
  }

  #areChangesApplied(): boolean {
    const { term: currentTerm, applied, lastIndex } = this.#options.host.status()
    if (this.#term !== currentTerm) {
      // What earlier leaders left in the log may contain changes.
      this.#term = currentTerm
      this.#lastChange = lastIndex
    }
    return applied >= this.#lastChange
  }

  #prepare(command: Command): Command {
    return command.kind === 'depart' ? this.#raiseStart(command) : this.#replaceInvalid(command)
  }

  /**
   * A departure of an earlier start than a recorded one would not be recorded. The server may have started again with
   * its clock set back, so the entries have to learn that it leaves.
   */
  #raiseStart(command: DepartCommand): DepartCommand {
    const known = this.#options.host.state.departures.get(command.server)
    return known !== undefined && known.start > command.start ? { ...command, start: known.start + 1 } : command
  }

  /** Replaces a change that leads to an invalid document with its digest and faults, which is all that the log records. */
  #replaceInvalid(command: Command): Command {
    if (command.kind === 'submit' && command.content.validity === 'valid') {
      const { text } = command.content
      const checked = this.#options.checkDocument(text)
      return checked.isOk() ? command : { ...command, content: invalidContent(text, checked.error) }
    }
    const { state } = this.#options.host
    if (command.kind === 'promote') return this.#replaceInvalidPromotion(command)
    // Every change before this one is applied, so another base is refused, or the change is a repeated one.
    if (command.kind !== 'amend' || command.numbering.base !== currentVersion(state, command.environment))
      return command
    const amended = amendedDocument(state, command)
    const checked = amended.andThen(this.#options.checkDocument)
    const isTooLarge = amended.isOk() && Buffer.byteLength(amended.value) > MAX_DOCUMENT_BYTES
    if (checked.isOk() || isTooLarge) return command
    const { changed, removed, ...change } = command
    return { ...change, kind: 'submit', content: invalidContent(JSON.stringify([changed, removed]), checked.error) }
  }

  /**
   * Trial may hold a document that an older build accepted. A promotion with another base or source is refused when it
   * is applied, and a repeated one gets its recorded result.
   */
  #replaceInvalidPromotion(command: PromoteCommand): Command {
    const { state } = this.#options.host
    const { digest, sourceRevision, ...change } = command
    const recorded = state.results.get(command.changeId)?.result
    const mayBeInvalid =
      recorded === undefined
        ? command.baseRevision === currentRevision(state, command.environment)
        : recorded.kind === 'refused' && recorded.code === 'documentInvalid'
    const inTrial = state.environments.get(TRIAL_ENVIRONMENT) ?? []
    const source = inTrial.find((kept) => kept.revision === sourceRevision && kept.digest === digest)
    if (!mayBeInvalid || source === undefined || command.environment === TRIAL_ENVIRONMENT) return command
    const checked = this.#options.checkDocument(source.text)
    if (checked.isOk()) return command
    return { ...change, kind: 'submit', content: invalidContent(source.text, checked.error) }
  }
}

/** Content of a change that the log records as refused. `text` identifies the change. */
export function invalidContent(text: string, faults: readonly Fault[]): SubmitCommand['content'] {
  return {
    validity: 'invalid',
    digest: sha256(text),
    faults: faults.slice(0, MAX_REPORTED_FAULTS).map(truncateFault),
  }
}

function truncateFault(fault: Fault): Fault {
  const truncate = (text: string) => text.slice(0, MAX_FAULT_TEXT_LENGTH)
  return { section: truncate(fault.section), key: truncate(fault.key), reason: truncate(fault.reason) }
}

/** Undefined unless the request was accepted; 0 if its result has no revision. */
function revisionOf(outcome: AttemptOutcome): number | undefined {
  if (outcome.kind === 'recorded') return 0
  return outcome.kind === 'change' && outcome.result.kind === 'accepted' ? outcome.result.revision : undefined
}

function attemptOutcome(proposed: ProposalOutcome): AttemptOutcome {
  switch (proposed.kind) {
    case 'applied': {
      const { applied } = proposed
      if (applied.kind === 'refused') return { kind: 'failed', failure: failure(applied.code) }
      if (applied.kind !== 'change') return { kind: 'recorded' }
      return { kind: 'change', result: applied.result, repeated: applied.repeated }
    }
    case 'unknown':
      return retry('not-committed', { sent: true })
    case 'failed': {
      const { failure: cause, leader } = proposed
      if (cause.code === 'requestInvalid' || cause.code === 'changeTooLarge') return { kind: 'failed', failure: cause }
      const reason = cause.code === 'notLeader' ? 'not-leader' : 'not-proposed'
      return retry(reason, { leader: leader && nodeIdOf(leader) })
    }
  }
}
