/**
 * Gateway for adapters: server announcements and departures, evacuations, document changes and reads. Every node provides it; a node
 * without a replica forwards the requests to control.
 */
import { randomUUID } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import { failure, revision, type Environment, type Failure, type NodeId, type ServerId } from '@bilberrystall/base'
import { encodeCommand, evacuatedDomainSchema, sha256, type Command } from '@bilberrystall/control'
import { renderSections } from '@bilberrystall/document'
import {
  chooseAnnouncementNode,
  isLeaving,
  type DepartingProcess,
  type Directory,
  type Server,
} from '@bilberrystall/membership'
import { DeliveryService, type RpcClients } from '@bilberrystall/rpc'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import type { Gateway, VersionedChange } from './adapter'
import type { SubmitOutcome } from './change-outcome'
import { invalidContent } from './change-proposals'
import type { ChangeSubmitter } from './change-submitter'
import { decodeDocument } from './control-follower'
import type { PublishedDocument } from './document-store'
import { splitAddress } from './listener'
import type { Health } from './status-listener'

/** Platforms try another node if they get no response within a second; a later response is wasted work. */
const CHANGE_TIMEOUT_MS = 950
/** Platforms wait longer for a large request. */
const CHANGE_BYTES_PER_MS = 128
const READ_TIMEOUT_MS = 900
/** Timeout for one replica, so that two can be tried within the total timeout. */
const READ_ATTEMPT_TIMEOUT_MS = 400
/** Requester recorded for changes made through an adapter, which has no operator names. */
const REQUESTER = 'platform'

export interface GatewayOptions {
  readonly self: NodeId
  readonly environment: Environment
  readonly directory: Directory
  /** Monotonic ms. */
  readonly now?: () => number
  readonly changes: () => ChangeSubmitter
  readonly clients: RpcClients
  /** Control nodes, nearest first. */
  readonly controlNodes: () => readonly NodeId[]
  readonly addressOf: (node: NodeId) => string | undefined
  readonly health: () => Health
  readonly onAnnounced: (server: Server) => Result<void, Failure>
  readonly onDeparted: (server: ServerId, start: number) => void
}

export class NodeGateway implements Gateway {
  readonly #options: GatewayOptions

  constructor(options: GatewayOptions) {
    this.#options = options
  }

  readonly health = (): Health => this.#options.health()

  readonly announce = async (announcement: Omit<Server, 'environment'>): Promise<Result<void, Failure>> => {
    const { environment, directory, now = () => performance.now(), onAnnounced } = this.#options
    const server = directory.identify({ ...announcement, environment }, now())
    if (isLeaving(server)) {
      const departed = await this.#depart(server)
      if (departed.isErr()) return departed
    }
    const announced = onAnnounced(server)
    // A late announcement of a server that has already left is acknowledged, because no further action is needed.
    return isLeaving(server) ? ok() : announced
  }

  readonly announcementHost = ({ server, failureDomain }: Omit<Server, 'environment'>): string | undefined => {
    const { directory, self } = this.#options
    const query = { server, failureDomain, receiver: self }
    const node = chooseAnnouncementNode(directory.nodes.values(), query)
    return node === undefined ? undefined : splitAddress(node.address).host
  }

  readonly depart = (server: ServerId, start: number | undefined): Promise<Result<void, Failure>> =>
    this.#depart({ server, start: start ?? this.#newestStart(server) })

  async #depart(process: DepartingProcess): Promise<Result<void, Failure>> {
    const { server } = process
    const start = this.#options.directory.departingStart(process)
    // The entries would go on using the server, so its departure must not be acknowledged.
    if (start === undefined) return err(failure('departureUnconfirmed'))
    const origin = { at: 0, requester: REQUESTER, source: 'server' }
    const outcome = await this.#submit({ kind: 'depart', ...origin, server, start })
    if (outcome.kind === 'failed') return err(outcome.failure)
    if (outcome.kind !== 'recorded') return err(failure('noQuorum'))
    this.#options.onDeparted(server, start)
    return ok()
  }

  readonly evacuate = async (name: string, action: 'start' | 'end', source: string): Promise<SubmitOutcome> => {
    const domain = evacuatedDomainSchema.safeParse(name)
    if (!domain.success) return { kind: 'failed', failure: failure('requestInvalid', z.prettifyError(domain.error)) }
    const origin = { at: 0, requester: REQUESTER, source: source === '' ? 'unknown' : source }
    return this.#submit({ kind: 'evacuate', ...origin, action, domain: domain.data, order: randomUUID() })
  }

  readonly change = (change: VersionedChange, source: string): Promise<SubmitOutcome> =>
    this.#submit(toCommand(change, this.#options.environment, source))

  readonly readDocument = async (): Promise<Result<PublishedDocument | undefined, Failure>> => {
    const { environment, clients, controlNodes, addressOf } = this.#options
    const giveUpAt = performance.now() + READ_TIMEOUT_MS
    for (const node of controlNodes()) {
      const address = addressOf(node)
      const timeoutMs = Math.min(READ_ATTEMPT_TIMEOUT_MS, giveUpAt - performance.now())
      if (address === undefined || timeoutMs <= 0) continue
      // The position is above that of every departure, so the response contains only the document.
      const request = { environment, revision: 0n, departurePosition: 2n ** 63n, confirmed: true }
      try {
        const response = await clients.client(DeliveryService, address).follow(request, { timeoutMs })
        return ok(decodeDocument(response.document, 'replica'))
      } catch {
        // An isolated replica cannot confirm the read; the next one is tried.
      }
    }
    return err(failure('noQuorum'))
  }

  #submit(command: Command): Promise<SubmitOutcome> {
    const timeoutMs = CHANGE_TIMEOUT_MS + encodeCommand(command).byteLength / CHANGE_BYTES_PER_MS
    return this.#options.changes().submit(command, { timeoutMs })
  }

  #newestStart(server: ServerId): number {
    let newest = 0
    for (const record of this.#options.directory.servers.values()) {
      if (record.server === server) newest = Math.max(newest, record.start)
    }
    return newest
  }
}

/** Derives the change id from the content, so that a change submitted through two nodes is applied once. */
function toCommand(change: VersionedChange, environment: Environment, source: string): Command {
  const { version, base } = change
  const origin = { at: 0, requester: REQUESTER, source: source === '' ? 'unknown' : source }
  const common = { ...origin, environment, baseRevision: revision(0), numbering: { version, base } }
  const sections = change.kind === 'amend' ? change.changed : change.sections
  const rendered = renderSections(sections)
  if (rendered.isErr()) {
    const content = JSON.stringify(sections)
    const changeId = contentHash([change.kind, version, base, content])
    return { kind: 'submit', ...common, changeId, content: invalidContent(content, rendered.error) }
  }
  const text = rendered.value
  if (change.kind === 'amend') {
    const { service, route, organisation = [] } = change.removed
    const changeId = contentHash(['amend', version, base, text, change.removed])
    const organisations = organisation.length === 0 ? {} : { organisation: [...organisation] }
    const removed = { service: [...service], route: [...route], ...organisations }
    return { kind: 'amend', ...common, changeId, changed: text, removed }
  }
  const changeId = contentHash(['replace', version, base, text])
  // The leader validates the document, so that the reason of a rejection does not depend on the receiving node.
  return { kind: 'submit', ...common, changeId, content: { validity: 'valid', text } }
}

function contentHash(parts: readonly unknown[]): string {
  return sha256(JSON.stringify(parts))
}
