/**
 * Submits operator requests to the control log. The leader validates and proposes them; any other node forwards them to
 * the leader. Changes are idempotent by change id, so a node that gets no response to one asks further control nodes
 * beside the first, until one of them settles it.
 */
import { err, ok, type Result } from 'neverthrow'
import { Code, ConnectError } from '@connectrpc/connect'
import { failure, nodeId, type Failure, type NodeId } from '@bilberrystall/base'
import { decodeCommand, encodeCommand, type Command } from '@bilberrystall/control'
import { DeliveryService, type RpcClients } from '@bilberrystall/rpc'
import {
  decodeSubmitResponse,
  retry,
  type AttemptOutcome,
  type NotLeader,
  type SubmitOutcome,
  type SubmitReport,
} from './change-outcome'
import { ChangeProposals, type ChangeProposalsOptions } from './change-proposals'
import { ChangeSearch } from './change-search'
import type { NamedAddress } from './control-contacts'
import { nodeIdOf } from './control-transport'
import { LeaderMemory } from './leader-memory'

/** After a leader loss a change must be in force within 11 s; retrying for 10 s covers the election of a new leader. */
const SUBMIT_TIMEOUT_MS = 10_000
const ATTEMPT_TIMEOUT_MS = 6_000

export interface ChangeSubmitterOptions extends ChangeProposalsOptions {
  readonly node: NodeId
  readonly clients: RpcClients
  readonly addressOf: (node: NodeId) => string | undefined
  /** Nodes with the control role, the preferred ones first. */
  readonly controlNodes: () => readonly NodeId[]
  /** Called with the address of the leader that another control node named. */
  readonly onLeaderNamed?: (leader: NamedAddress) => void
  readonly leaders?: LeaderMemory
  /** Time after which a request without a result is given up. */
  readonly timeoutMs?: number
  /** Called with the outcome of each request and how it came about. */
  readonly onSettled?: (report: SubmitReport) => void
}

export interface SubmitOptions {
  /** At most that of the submitter. */
  readonly timeoutMs?: number
}

export class ChangeSubmitter {
  readonly #options: ChangeSubmitterOptions
  readonly #proposals: ChangeProposals
  readonly #leaders: LeaderMemory

  constructor(options: ChangeSubmitterOptions) {
    this.#options = options
    this.#proposals = new ChangeProposals(options)
    this.#leaders = options.leaders ?? new LeaderMemory()
  }

  /** Submits a command to the current leader, locally or over RPC. */
  async submit(command: Command, { timeoutMs = Infinity }: SubmitOptions = {}): Promise<SubmitOutcome> {
    const startedAt = performance.now()
    const limitMs = Math.min(timeoutMs, this.#options.timeoutMs ?? SUBMIT_TIMEOUT_MS)
    const { host, node, controlNodes, onSettled } = this.#options
    const search = new ChangeSearch({
      command,
      limitMs,
      leaders: this.#leaders,
      knownLeader: () => {
        const { leader } = host.status()
        return leader && nodeIdOf(leader)
      },
      controlNodes: () => {
        const nodes = controlNodes()
        return nodes.length === 0 ? [node] : nodes
      },
      attempt: (target, signal) => this.#attempt(command, target, signal),
      checkSession: (target) => {
        this.#checkSession(target)
      },
    })
    const { outcome, attempts } = await search.run()
    onSettled?.({ command, outcome, ms: performance.now() - startedAt, attempts })
    return outcome
  }

  /**
   * Handles a request forwarded by another node; only the leader accepts it. `signal` is aborted when that node has given
   * up.
   */
  async handle(bytes: Uint8Array, signal?: AbortSignal): Promise<Result<SubmitOutcome | NotLeader, Failure>> {
    const command = decodeCommand(bytes)
    if (command.isErr()) return err(command.error)
    const attempt = await this.#proposals.propose(command.value, signal)
    if (attempt.kind !== 'retry') return ok(attempt)
    if (attempt.sent) return ok({ kind: 'unknown' })
    const { reason, leader } = attempt
    const address = (leader && this.#options.addressOf(leader)) ?? ''
    return ok({ kind: 'not-leader', reason, leader: leader ?? '', address })
  }

  #attempt(command: Command, target: NodeId, signal: AbortSignal): Promise<AttemptOutcome> {
    return target === this.#options.node
      ? this.#proposals.propose(command, signal)
      : this.#forward(command, target, signal)
  }

  async #forward(command: Command, target: NodeId, signal: AbortSignal): Promise<AttemptOutcome> {
    const { clients, addressOf, attemptTimeoutMs = ATTEMPT_TIMEOUT_MS } = this.#options
    const address = addressOf(target)
    if (address === undefined) return retry('address-unknown')
    try {
      const request = { command: encodeCommand(command) }
      const options = { timeoutMs: attemptTimeoutMs, signal }
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
    }
  }

  #checkSession(target: NodeId): void {
    const { node, addressOf, clients } = this.#options
    const address = target === node ? undefined : addressOf(target)
    if (address !== undefined) clients.checkSession(address)
  }
}
