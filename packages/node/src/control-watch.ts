/**
 * Keeps the document of an entry current. It watches one replica and fetches from any node that states a newer revision.
 * At the start it also takes a document from another node when a majority confirmed it after this process started: an
 * older confirmation may be older than a revision that was in force here before the restart.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { environmentName, revision, type Digest, type Environment, type NodeId } from '@bilberrystall/base'
import { sha256 } from '@bilberrystall/control'
import { DeliveryService, type DeliveredDocument, type RpcClients } from '@bilberrystall/rpc'
import type { DocumentKeeper, HeldDocument } from './control-documents'

const REOPEN_MS = 200
const START_INTERVAL_MS = 500
const FETCH_LIMIT_MS = 2_000

export interface WatcherOptions {
  readonly environment: Environment
  readonly keeper: DocumentKeeper
  readonly clients: RpcClients
  readonly addressOf: (node: NodeId) => string | undefined
  readonly controlNodes: () => readonly NodeId[]
  /** Other live entries of the environment. */
  readonly otherEntries: () => readonly NodeId[]
  readonly now: () => number
}

export class DocumentWatcher {
  readonly #options: WatcherOptions
  readonly #abort = new AbortController()
  readonly #fetching = new Set<NodeId>()
  readonly #startedAt: number
  #round = 0

  constructor(options: WatcherOptions) {
    this.#options = options
    this.#startedAt = options.now()
  }

  start(): void {
    void this.#watchForever()
    void this.#askEntries()
  }

  stop(): void {
    this.#abort.abort()
  }

  /** Fetches the document at or above the floor from a node that stated it. */
  async fetch(node: NodeId): Promise<void> {
    const { environment, keeper, clients, addressOf, now } = this.#options
    const address = addressOf(node)
    if (address === undefined || this.#fetching.has(node)) return
    this.#fetching.add(node)
    const sentAt = now()
    try {
      const request = { environment, minimumRevision: BigInt(keeper.floor(environment)) }
      const options = { timeoutMs: FETCH_LIMIT_MS, signal: this.#abort.signal }
      const response = await clients.client(DeliveryService, address).fetch(request, options)
      const document = heldDocument(response.document)
      if (document === undefined || keeper.offer(document).isErr()) return
      const confirmedAt = sentAt - response.confirmedAgeMs
      if (confirmedAt >= this.#startedAt) keeper.confirm(environment, document.revision, confirmedAt)
    } catch {
      // The node may have left or may not have the revision; the watch and later gossip offer others.
    } finally {
      this.#fetching.delete(node)
    }
  }

  /** Fetches from any control node, after a lease showed a newer revision than the watch delivered. */
  async fetchFromControl(): Promise<void> {
    const candidates = this.#options.controlNodes()
    this.#round += 1
    const node = candidates[this.#round % Math.max(1, candidates.length)]
    if (node !== undefined) await this.fetch(node)
  }

  async #watchForever(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const candidates = this.#options.controlNodes()
      this.#round += 1
      const node = candidates[this.#round % Math.max(1, candidates.length)]
      if (node !== undefined) await this.#watch(node)
      await this.#pause(REOPEN_MS)
    }
  }

  async #watch(node: NodeId): Promise<void> {
    const { environment, keeper, clients, addressOf, now } = this.#options
    const address = addressOf(node)
    if (address === undefined) return
    const sentAt = now()
    let first = true
    try {
      const held = keeper.inForce(environment)?.revision ?? 0
      const request = { environment, revision: BigInt(held) }
      const options = { timeoutMs: 0, signal: this.#abort.signal }
      for await (const response of clients.client(DeliveryService, address).watch(request, options)) {
        const document = heldDocument(response.document)
        if (document !== undefined) keeper.offer(document)
        // The replica confirmed its state with a majority before the first response.
        if (first && response.revision > 0n) keeper.confirm(environment, revision(Number(response.revision)), sentAt)
        first = false
      }
    } catch {
      // The next replica is watched after a pause.
    }
  }

  async #askEntries(): Promise<void> {
    const { environment, keeper, otherEntries } = this.#options
    while (!this.#abort.signal.aborted && !keeper.isReady(environment)) {
      const entries = otherEntries()
      this.#round += 1
      const node = entries[this.#round % Math.max(1, entries.length)]
      if (node !== undefined) await this.fetch(node)
      await this.#pause(START_INTERVAL_MS)
    }
  }

  async #pause(duration: number): Promise<void> {
    await sleep(duration, undefined, { signal: this.#abort.signal, ref: false }).catch(() => undefined)
  }
}

/** Undefined when there is none or when its text does not match its digest. */
function heldDocument(message: DeliveredDocument | undefined): HeldDocument | undefined {
  if (message === undefined) return undefined
  const { digest, text } = message
  if (sha256(text) !== digest) return undefined
  const environment = environmentName(message.environment)
  return { environment, revision: revision(Number(message.revision)), digest: digest as Digest, text }
}
