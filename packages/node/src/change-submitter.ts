/**
 * Submits operator requests to the control log. The leader validates and proposes them; any other node forwards them to
 * the leader. If a response is lost, the request is retried until the timeout, which is safe because changes are
 * idempotent by change id.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Code, ConnectError } from '@connectrpc/connect'
import { err, ok, type Result } from 'neverthrow'
import { failure, nodeId, type Failure, type NodeId } from '@bilberrystall/base'
import { decodeCommand, encodeCommand, type Command } from '@bilberrystall/control'
import { DeliveryService, type RpcClients } from '@bilberrystall/rpc'
import {
  decodeSubmitResponse,
  isAcknowledgedCommand,
  retry,
  type AttemptOutcome,
  type AttemptReport,
  type NotLeader,
  type SubmitOutcome,
  type SubmitReport,
} from './change-outcome'
import { ATTEMPT_TIMEOUT_MS, ChangeProposals, type ChangeProposalsOptions } from './change-proposals'
import type { NamedAddress } from './control-contacts'
import { nodeIdOf } from './control-transport'

/** After a leader loss a change must be in force within 11 s; retrying for 10 s covers the election of a new leader. */
const SUBMIT_TIMEOUT_MS = 10_000
const RETRY_DELAY_MS = 50
const LEADER_POLL_INTERVAL_MS = 100

export interface ChangeSubmitterOptions extends ChangeProposalsOptions {
  readonly node: NodeId
  readonly clients: RpcClients
  readonly addressOf: (node: NodeId) => string | undefined
  /** Nodes with the control role. */
  readonly controlNodes: () => readonly NodeId[]
  /** Called with the address of the leader that another control node named. */
  readonly onLeaderNamed?: (leader: NamedAddress) => void
  readonly timeoutMs?: number
  /** Called with the outcome of each request and how it came about. */
  readonly onSettled?: (report: SubmitReport) => void
}

export class ChangeSubmitter {
  readonly #options: ChangeSubmitterOptions
  readonly #proposals: ChangeProposals

  constructor(options: ChangeSubmitterOptions) {
    this.#options = options
    this.#proposals = new ChangeProposals(options)
  }

  /** Submits a command to the current leader, locally or over RPC. */
  async submit(command: Command): Promise<SubmitOutcome> {
    const startedAt = performance.now()
    const attempts: AttemptReport[] = []
    const outcome = await this.#settle(command, attempts)
    this.#options.onSettled?.({ command, outcome, ms: performance.now() - startedAt, attempts })
    return outcome
  }

  async #settle(command: Command, attempts: AttemptReport[]): Promise<SubmitOutcome> {
    const startedAt = performance.now()
    const giveUpAt = startedAt + (this.#options.timeoutMs ?? SUBMIT_TIMEOUT_MS)
    let sent = false
    let hint: NodeId | undefined
    for (let round = 0; ; round += 1) {
      const target = this.#target(hint, round)
      const startedMs = performance.now() - startedAt
      const attempt = await this.#attempt(command, target)
      attempts.push({ node: target, startedMs, endedMs: performance.now() - startedAt, result: attemptResult(attempt) })
      if (attempt.kind !== 'retry') {
        if (attempt.kind !== 'unknown') return attempt
        sent = true
      } else {
        sent ||= attempt.sent
        hint = attempt.leader
      }
      // Resending a command that is not idempotent could record it twice.
      const idempotent = isAcknowledgedCommand(command)
      if (performance.now() > giveUpAt || (sent && !idempotent)) break
      await sleep(RETRY_DELAY_MS)
    }
    return sent ? { kind: 'unknown' } : { kind: 'failed', failure: failure('noQuorum') }
  }

  /** Handles a request forwarded by another node; only the leader accepts it. */
  async handle(bytes: Uint8Array): Promise<Result<SubmitOutcome | NotLeader, Failure>> {
    const command = decodeCommand(bytes)
    if (command.isErr()) return err(command.error)
    const attempt = await this.#proposals.propose(command.value)
    if (attempt.kind !== 'retry') return ok(attempt)
    if (attempt.sent) return ok({ kind: 'unknown' })
    const { reason, leader } = attempt
    return ok({
      kind: 'not-leader',
      reason,
      leader: leader ?? '',
      address: (leader && this.#options.addressOf(leader)) ?? '',
    })
  }

  #target(hint: NodeId | undefined, round: number): NodeId | undefined {
    const { host, controlNodes } = this.#options
    const { leader } = host.status()
    const others = controlNodes()
    return leader === undefined ? (hint ?? others[round % Math.max(1, others.length)]) : nodeIdOf(leader)
  }

  #attempt(command: Command, target: NodeId | undefined): Promise<AttemptOutcome> {
    if (target === undefined || target === this.#options.node) return this.#proposals.propose(command)
    return this.#forward(command, target)
  }

  async #forward(command: Command, target: NodeId): Promise<AttemptOutcome> {
    const { clients, addressOf } = this.#options
    const address = addressOf(target)
    if (address === undefined) return retry('address-unknown')
    const leaderWatch = this.#abortOnNewLeader()
    try {
      const request = { command: encodeCommand(command) }
      const options = { timeoutMs: this.#options.attemptTimeoutMs ?? ATTEMPT_TIMEOUT_MS, signal: leaderWatch.signal }
      const response = await clients.client(DeliveryService, address).submit(request, options)
      const { case: kind, value } = response.outcome
      if (kind === 'failed' && value.leader !== '') {
        this.#options.onLeaderNamed?.({ node: nodeId(value.leader), address: value.leaderAddress })
      }
      return decodeSubmitResponse(response)
    } catch (cause) {
      if (ConnectError.from(cause).code === Code.InvalidArgument) {
        return { kind: 'failed', failure: failure('requestInvalid', ConnectError.from(cause).rawMessage) }
      }
      return retry('no-response', { sent: true })
    } finally {
      leaderWatch.stop()
    }
  }

  /**
   * Aborts the request when a new leader is known, because a frozen leader never responds; the retry goes to the new
   * one.
   */
  #abortOnNewLeader(): { readonly signal: AbortSignal; readonly stop: () => void } {
    const { host } = this.#options
    const { leader } = host.status()
    const abort = new AbortController()
    const timer = setInterval(() => {
      const current = host.status().leader
      if (current !== undefined && current !== leader) abort.abort()
    }, LEADER_POLL_INTERVAL_MS)
    return {
      signal: abort.signal,
      stop: () => {
        clearInterval(timer)
      },
    }
  }
}

function attemptResult(attempt: AttemptOutcome): AttemptReport['result'] {
  if (attempt.kind === 'retry') return attempt.reason
  return attempt.kind === 'unknown' ? 'unknown' : 'settled'
}
