/**
 * What an adapter may ask of a node: announcements and departures of servers, changes of the document and reads of it.
 * Any node answers; one without a replica carries the question to control.
 */
import { performance } from 'node:perf_hooks'
import { failure, revision, type Environment, type Failure, type NodeId, type ServerId } from '@bilberrystall/base'
import { sha256, type Command } from '@bilberrystall/control'
import { renderSections } from '@bilberrystall/document'
import type { Directory, Server } from '@bilberrystall/membership'
import { DeliveryService, type RpcClients } from '@bilberrystall/rpc'
import { err, ok, type Result } from 'neverthrow'
import type { Gateway, NumberedChange } from './adapter'
import type { Changes, SubmitOutcome } from './control-changes'
import { heldDocument } from './control-follow'
import type { HeldDocument } from './control-documents'
import type { Health } from './status-listener'

/** Platforms move on to another node after a second without an answer. */
const READ_LIMIT_MS = 900
/** One replica is waited for this long, so that two can be asked within the limit. */
const READ_ATTEMPT_MS = 400
/** Requester of changes that come through an adapter, which knows no names of operators. */
const REQUESTER = 'platform'

export interface GatewayOptions {
  readonly environment: Environment
  readonly directory: Directory
  readonly changes: Changes
  readonly clients: RpcClients
  /** Live control nodes, nearest first. */
  readonly controlNodes: () => readonly NodeId[]
  readonly health: () => Health
  readonly announced: (server: Server) => Result<void, Failure>
  readonly departed: (server: ServerId, start: number) => void
}

export class NodeGateway implements Gateway {
  readonly #options: GatewayOptions

  constructor(options: GatewayOptions) {
    this.#options = options
  }

  readonly health = (): Health => this.#options.health()

  readonly announce = async (announcement: Omit<Server, 'environment'>): Promise<Result<void, Failure>> => {
    const server = { ...announcement, environment: this.#options.environment }
    const leaves = server.state === 'draining' || server.state === 'stopped'
    if (leaves) {
      const departed = await this.depart(server.server, server.start)
      if (departed.isErr()) return departed
    }
    const announced = this.#options.announced(server)
    // A late announcement of a server that is known to have left is acknowledged: its sender needs nothing else.
    return leaves ? ok() : announced
  }

  readonly depart = async (server: ServerId, start: number | undefined): Promise<Result<void, Failure>> => {
    const known = start ?? this.#newestStart(server)
    const origin = { at: 0, requester: REQUESTER, source: 'server' }
    const outcome = await this.#options.changes.submit({ kind: 'depart', ...origin, server, start: known })
    if (outcome.kind === 'failed') return err(outcome.failure)
    if (outcome.kind !== 'recorded') return err(failure('noQuorum'))
    this.#options.departed(server, known)
    return ok()
  }

  readonly change = (change: NumberedChange, source: string): Promise<SubmitOutcome> =>
    this.#options.changes.submit(commandOf(change, this.#options.environment, source))

  readonly newest = async (): Promise<Result<HeldDocument | undefined, Failure>> => {
    const { environment, clients, controlNodes, directory } = this.#options
    const end = performance.now() + READ_LIMIT_MS
    for (const node of controlNodes()) {
      const address = directory.nodes.get(node)?.address
      const timeoutMs = Math.min(READ_ATTEMPT_MS, end - performance.now())
      if (address === undefined || timeoutMs <= 0) continue
      const request = { environment, revision: 0n, departurePosition: 2n ** 63n, confirmed: true }
      try {
        const response = await clients.client(DeliveryService, address).follow(request, { timeoutMs })
        return ok(heldDocument(response.document))
      } catch {
        // A replica that is cut off cannot confirm; the next one is asked.
      }
    }
    return err(failure('noQuorum'))
  }

  #newestStart(server: ServerId): number {
    let newest = 0
    for (const record of this.#options.directory.servers.values()) {
      if (record.server === server) newest = Math.max(newest, record.start)
    }
    return newest
  }
}

/** The change id is derived from the content, so the same change sent through two nodes has one effect. */
function commandOf(change: NumberedChange, environment: Environment, source: string): Command {
  const { version, base } = change
  const origin = { at: 0, requester: REQUESTER, source: source === '' ? 'unknown' : source }
  const common = { ...origin, environment, baseRevision: revision(0), numbering: { version, base } }
  if (change.kind === 'amend') {
    const changed = renderSections(change.changed)
    const { removed } = change
    const changeId = contentId(['amend', version, base, changed, removed])
    return {
      kind: 'amend',
      ...common,
      changeId,
      changed,
      removed: { service: [...removed.service], route: [...removed.route] },
    }
  }
  const text = renderSections(change.sections)
  const changeId = contentId(['replace', version, base, text])
  // The leader checks the document, so that the reason of a refusal is the same wherever the change arrives.
  return { kind: 'submit', ...common, changeId, content: { validity: 'valid', text } }
}

function contentId(parts: readonly unknown[]): string {
  return sha256(JSON.stringify(parts))
}
