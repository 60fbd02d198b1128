/**
 * Keeps an entry up to date with control: the document in force, the departed servers and the evacuated failure domains.
 * It polls one replica at short
 * intervals and switches to another one as soon as that replica does not respond or is not current, so the staleness of
 * the entry is bounded while it can reach any current replica. On startup it also accepts a document from another node
 * if a majority confirmed it after this process started: an earlier confirmation may predate a revision that was in
 * force on this node before the restart.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import {
  environmentName,
  nodeId,
  revision,
  serverId,
  type Digest,
  type Environment,
  type FailureDomain,
  type NodeId,
  type ServerId,
} from '@bilberrystall/base'
import { sha256 } from '@bilberrystall/control'
import { Code, ConnectError } from '@connectrpc/connect'
import { DeliveryService, type DeliveredDocument, type FollowResponse, type RpcClients } from '@bilberrystall/rpc'
import type { ControlContact, ControlContacts } from './control-contacts'
import type { DocumentSource, DocumentStore, PublishedDocument } from './document-store'
import { Evacuations, decodeEvacuations, type EvacuationList } from './evacuations'

/** Polling interval: a fifth of the 2 s within which a change or a departure must be in force on every node. */
const FOLLOW_INTERVAL_MS = 400
/** Request timeout; a healthy replica responds within a few milliseconds. */
const FOLLOW_TIMEOUT_MS = 350
/** Polling interval of an entry without a document, which rejects every call until it finds a replica. */
const DISCOVERY_INTERVAL_MS = 50
/**
 * Number of replicas that an entry without a document polls concurrently, because one may be unreachable or still
 * starting. A higher number would transfer a large document over slow links too often.
 */
const DISCOVERY_FANOUT = 2
/**
 * Shortest interval between the starts of rounds without a response. It doubles with each such round, because in a
 * fleet of hundreds the replicas have to answer all entries at the same time. It includes the time of the polls, which
 * a replica without a leader may hold until they time out.
 */
const MIN_RETRY_INTERVAL_MS = 20
const MAX_RETRY_INTERVAL_MS = 500
/** Delay before the next round after polls that took longer than the interval. */
const MIN_RETRY_DELAY_MS = 20
/** Time for which an address that did not respond is tried last. */
const DEPRIORITIZED_MS = 3_000
/** Rounds without a response after which addresses outside the directory are polled as well. */
const MAX_ROUNDS_IN_DIRECTORY = 2
/** Maximum number of polls after a notification. The first goes to the nearest replica, which may lag. */
const CATCH_UP_ATTEMPTS = 5
/** Message of a replica that cannot be sure to have what control committed. */
export const NOT_CURRENT_MESSAGE = 'this replica may be behind'
/** Interval at which a replica is asked for the members of the replica set. */
const REPLICAS_INTERVAL_MS = 5_000
/** Time without a response of a replica after which that is reported: a change must be in force within it. */
const LOST_CONTACT_MS = 2_000
const ENTRY_FETCH_INTERVAL_MS = 500
const FETCH_TIMEOUT_MS = 2_000
/** Fetches of an announced revision that start at the same time. */
const MAX_CONCURRENT_FETCHES = 2
/** Time after which the next node that announced a revision is asked as well. */
const FETCH_HEDGE_MS = 500

export interface DepartedServer {
  readonly server: ServerId
  /** Start time of the server process in Unix milliseconds. */
  readonly start: number
}

export interface FollowQuery {
  readonly environment: string
  readonly revision: bigint
  readonly departurePosition: bigint
  /** Absent in queries of builds without evacuations. */
  readonly evacuationPosition?: bigint
  readonly confirmed: boolean
  readonly wantsReplicas?: boolean
}

/** State that a replica has and notifies an entry of. */
export interface Notification {
  readonly revision: number
  readonly departurePosition: number
  readonly node: NodeId
  /** RPC address of the replica; undefined if it did not state one. */
  readonly address?: string
  /** What the notification contains of that state. */
  readonly content?: NotifiedContent
}

export interface NotifiedContent {
  readonly document: PublishedDocument | undefined
  /** All departures after the position `departuresAfter`, or none. */
  readonly departures: readonly DepartedServer[]
  readonly departuresAfter: number
  /** Absent if the notifying replica has none. */
  readonly evacuations?: EvacuationList
}

/** What an entry has. */
export type Position = Pick<Notification, 'revision' | 'departurePosition'> & { readonly evacuationPosition: number }

/** Why a replica did not tell an entry what is new. */
export type PollFailure = 'no-response' | 'not-current'

/** What an entry knows when no replica has responded for a while. */
export interface LostContact {
  readonly kind: 'lost'
  /** Control nodes in the directory. */
  readonly replicas: readonly NodeId[]
  /**
   * Last failure of each address that was polled since the last response, as `replica: failure`, with the address in
   * place of an unknown name.
   */
  readonly failures: readonly string[]
}

export interface RestoredContact {
  readonly kind: 'restored'
  /** Name of the replica that responded, or its address if the name is unknown. */
  readonly replica: string
  /** Time since the response before. */
  readonly ms: number
}

type Polled = Pick<ControlContact, 'node' | 'address'>

export interface FollowerOptions {
  readonly environment: Environment
  readonly self: NodeId
  readonly documentStore: DocumentStore
  readonly clients: RpcClients
  readonly addressOf: (node: NodeId) => string | undefined
  readonly contacts: ControlContacts
  readonly failureDomain: FailureDomain
  /** Other live entries of the environment. */
  readonly otherEntries: () => readonly NodeId[]
  readonly onDepartures: (departed: readonly DepartedServer[]) => void
  /** Evacuated failure domains of this entry, which the follower keeps up to date. */
  readonly evacuations?: Evacuations
  /** Called when no replica has responded for a time, and when one does again. */
  readonly onContact?: (contact: LostContact | RestoredContact) => void
  readonly now: () => number
}

export class ControlFollower {
  readonly #options: FollowerOptions
  readonly #abort = new AbortController()
  readonly #evacuations: Evacuations
  /** Addresses from which a document is being fetched. */
  readonly #fetching = new Set<string>()
  /** Nodes that announced a newer revision and were not asked for it yet. */
  readonly #announcers = new Set<NodeId>()
  #announcedFetches = 0
  readonly #deprioritizedUntil = new Map<string, number>()
  readonly #startedAt: number
  /** Monotonic time of the last response of a replica, at first of the start. */
  #respondedAt: number
  #contactLost = false
  /** By address, as they are reported. */
  readonly #failures = new Map<string, string>()
  /** Rounds since the last response of a replica. */
  #failedRounds = 0
  #askedForReplicasAt = Number.NEGATIVE_INFINITY
  #departurePosition = 0n
  #round = 0

  constructor(options: FollowerOptions) {
    this.#options = options
    this.#evacuations = options.evacuations ?? new Evacuations()
    this.#startedAt = options.now()
    this.#respondedAt = this.#startedAt
  }

  start(): void {
    void this.#pollLoop()
    void this.#fetchFromEntries()
  }

  stop(): void {
    this.#abort.abort()
  }

  /** Polls until this entry has what the notifying replica has, and returns what it has then. */
  async catchUp(notification: Notification): Promise<Position> {
    const { environment, documentStore, contacts, addressOf } = this.#options
    const { node, address = '' } = notification
    contacts.learn([{ node, address }])
    this.#applyContent(notification)
    const notifierAddress = address === '' ? (addressOf(node) ?? contacts.addressOf(node)) : address
    const notifier = notifierAddress === undefined ? undefined : { node, address: notifierAddress }
    let next: Polled | undefined = this.#nextContacts(1)[0] ?? notifier
    for (let attempt = 0; attempt < CATCH_UP_ATTEMPTS && !this.#hasReached(notification); attempt += 1) {
      if (next === undefined) break
      await this.#poll(next)
      next = notifier
    }
    const revisionInForce = documentStore.inForce(environment)?.revision ?? 0
    return {
      revision: revisionInForce,
      departurePosition: Number(this.#departurePosition),
      evacuationPosition: this.#evacuations.position,
    }
  }

  #applyContent({ content, departurePosition }: Notification): void {
    const { environment, documentStore, onDepartures } = this.#options
    if (content === undefined) return
    const { document, departures, departuresAfter, evacuations } = content
    if (evacuations !== undefined) this.#evacuations.offer(evacuations)
    if (document?.environment === environment) documentStore.offer(document)
    const isComplete = departures.length > 0 && this.#departurePosition >= BigInt(departuresAfter)
    if (!isComplete || this.#departurePosition >= BigInt(departurePosition)) return
    this.#departurePosition = BigInt(departurePosition)
    onDepartures(departures)
  }

  #hasReached({ revision: notified, departurePosition }: Notification): boolean {
    const { environment, documentStore } = this.#options
    const inForce = documentStore.inForce(environment)?.revision ?? 0
    return inForce >= notified && this.#departurePosition >= BigInt(departurePosition)
  }

  /** Fetches the document from a node that announced it; rejects revisions below the floor of the document store. */
  async fetch(node: NodeId): Promise<void> {
    const address = this.#options.addressOf(node)
    if (address !== undefined) await this.#fetchFrom(address)
  }

  async #fetchFrom(address: string): Promise<void> {
    const { environment, documentStore, clients, now } = this.#options
    if (this.#fetching.has(address)) return
    this.#fetching.add(address)
    const sentAt = now()
    try {
      const request = { environment, minimumRevision: BigInt(documentStore.floor(environment)) }
      const options = { timeoutMs: FETCH_TIMEOUT_MS, signal: this.#abort.signal }
      const response = await clients.client(DeliveryService, address).fetch(request, options)
      const document = decodeDocument(response.document, 'node')
      if (document === undefined || documentStore.offer(document).isErr()) return
      const confirmedAt = sentAt - response.confirmedAgeMs
      if (confirmedAt >= this.#startedAt) documentStore.confirm(environment, document.revision, confirmedAt)
    } catch {
      // The node may have left or may not have the revision; later polls and gossip provide other sources.
    } finally {
      this.#fetching.delete(address)
    }
  }

  /** Fetches a newer revision from `node`, or from another node that announced one if that has not delivered it. */
  async fetchAnnounced(node: NodeId): Promise<void> {
    const { environment, documentStore } = this.#options
    this.#announcers.add(node)
    if (this.#announcedFetches >= MAX_CONCURRENT_FETCHES) return
    this.#announcedFetches += 1
    for (const next of this.#announcers) {
      this.#announcers.delete(next)
      if (documentStore.isBehind(environment)) await Promise.race([this.fetch(next), this.#sleep(FETCH_HEDGE_MS)])
    }
    this.#announcedFetches -= 1
  }

  /** Fetches from a control node, after a lease reported a newer revision than this node has. */
  async fetchFromControl(): Promise<void> {
    const [contact] = this.#nextContacts(1)
    if (contact !== undefined) await this.#fetchFrom(contact.address)
  }

  async #pollLoop(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      const { documentStore, environment } = this.#options
      const isReady = documentStore.isReady(environment) && this.#evacuations.isConfirmed
      const startedAt = this.#options.now()
      const contacts = this.#nextContacts(isReady && this.#failedRounds === 0 ? 1 : DISCOVERY_FANOUT)
      const responded = await anyTrue(contacts.map((contact) => this.#poll(contact)))
      this.#failedRounds = responded ? 0 : this.#failedRounds + 1
      if (!responded) this.#reportLostContact()
      if (responded) await this.#sleep(FOLLOW_INTERVAL_MS)
      else if (contacts.length > 0) await this.#sleep(this.#retryDelay(this.#options.now() - startedAt))
      else await this.#sleep(isReady ? FOLLOW_INTERVAL_MS : DISCOVERY_INTERVAL_MS)
    }
  }

  #retryDelay(roundMs: number): number {
    const interval = Math.min(MIN_RETRY_INTERVAL_MS * 2 ** (this.#failedRounds - 1), MAX_RETRY_INTERVAL_MS)
    return Math.max(MIN_RETRY_DELAY_MS, interval - roundMs)
  }

  /**
   * Returns the next addresses to poll: `count` of the replicas in the directory. If all of these failed recently, the
   * other known addresses are polled at the same time, and the seeds if those failed as well.
   */
  #nextContacts(count: number): readonly ControlContact[] {
    const { contacts } = this.#options
    const next: ControlContact[] = []
    const groups = [this.#byDistance(contacts.live()), contacts.known(), contacts.seeds()].map((group) =>
      this.#rank(group),
    )
    for (const ranked of groups) {
      next.push(...ranked.slice(0, count))
      const hasCandidate = ranked.some(({ address }) => !this.#failedRecently(address))
      if (hasCandidate && this.#failedRounds < MAX_ROUNDS_IN_DIRECTORY) break
    }
    return next
  }

  /** This node first, then its failure domain, then the others. */
  #byDistance(contacts: readonly ControlContact[]): readonly ControlContact[] {
    const { self, failureDomain } = this.#options
    const distance = (contact: ControlContact) =>
      contact.node === self ? 0 : contact.failureDomain === failureDomain ? 1 : 2
    return contacts.toSorted((left, right) => distance(left) - distance(right))
  }

  /** Addresses that did not respond recently come last; the order of the others is kept. */
  #rank(contacts: readonly ControlContact[]): readonly ControlContact[] {
    const at = this.#options.now()
    const penalty = ({ address }: ControlContact) => Math.max(0, (this.#deprioritizedUntil.get(address) ?? 0) - at)
    return contacts.toSorted((left, right) => penalty(left) - penalty(right))
  }

  #failedRecently(address: string): boolean {
    return (this.#deprioritizedUntil.get(address) ?? 0) > this.#options.now()
  }

  async #poll(polled: Polled): Promise<boolean> {
    const { address } = polled
    const { environment, documentStore, clients, now } = this.#options
    const sentAt = now()
    const wantsReplicas = sentAt - this.#askedForReplicasAt >= REPLICAS_INTERVAL_MS
    try {
      const currentRevision = documentStore.inForce(environment)?.revision
      const request = {
        environment,
        revision: BigInt(currentRevision ?? 0),
        departurePosition: this.#departurePosition,
        evacuationPosition: BigInt(this.#evacuations.position),
        // After a restart, the first state must not be older than one that was already used.
        confirmed: currentRevision === undefined || !this.#evacuations.isConfirmed,
        wantsReplicas,
      }
      const options = { timeoutMs: FOLLOW_TIMEOUT_MS, signal: this.#abort.signal }
      const response = await clients.client(DeliveryService, address).follow(request, options)
      if (isBehind(response, request)) {
        this.#pollFailed(polled, 'not-current')
        return false
      }
      if (request.confirmed) this.#evacuations.confirm(decodeEvacuations(response))
      this.#applyResponse(response, sentAt)
      if (wantsReplicas) this.#askedForReplicasAt = sentAt
      this.#pollResponded(polled)
      return true
    } catch (cause) {
      this.#pollFailed(polled, isNotCurrent(cause) ? 'not-current' : 'no-response')
      return false
    }
  }

  /** No replica is there, it is unreachable or it is not current; the next address is tried. */
  #pollFailed({ node, address }: Polled, reason: PollFailure): void {
    const at = this.#options.now()
    for (const [other, until] of this.#deprioritizedUntil) if (until <= at) this.#deprioritizedUntil.delete(other)
    this.#deprioritizedUntil.set(address, at + DEPRIORITIZED_MS)
    this.#failures.set(address, `${node ?? address}: ${reason}`)
  }

  #pollResponded({ node, address }: Polled): void {
    const at = this.#options.now()
    this.#options.contacts.responded(address)
    this.#deprioritizedUntil.delete(address)
    if (this.#contactLost) {
      this.#options.onContact?.({ kind: 'restored', replica: node ?? address, ms: Math.round(at - this.#respondedAt) })
    }
    this.#contactLost = false
    this.#respondedAt = at
    this.#failures.clear()
  }

  #reportLostContact(): void {
    const { contacts, now, onContact } = this.#options
    if (this.#contactLost || now() - this.#respondedAt < LOST_CONTACT_MS) return
    this.#contactLost = true
    const replicas = contacts.live().flatMap(({ node }) => node ?? [])
    onContact?.({ kind: 'lost', replicas, failures: [...this.#failures.values()] })
  }

  #applyResponse(response: FollowResponse, sentAt: number): void {
    const { environment, documentStore, contacts, onDepartures } = this.#options
    this.#evacuations.offer(decodeEvacuations(response))
    contacts.learn(response.replicas.map(({ node, address }) => ({ node: nodeId(node), address })))
    const document = decodeDocument(response.document, 'replica')
    if (document !== undefined) documentStore.offer(document)
    if (response.revision > 0n) documentStore.confirm(environment, revision(Number(response.revision)), sentAt)
    if (response.departurePosition > this.#departurePosition) this.#departurePosition = response.departurePosition
    if (response.departures.length === 0) return
    onDepartures(decodeDepartures(response.departures))
  }

  async #fetchFromEntries(): Promise<void> {
    const { environment, documentStore, otherEntries } = this.#options
    while (!this.#abort.signal.aborted && !documentStore.isReady(environment)) {
      const entries = otherEntries()
      this.#round += 1
      const node = entries[this.#round % Math.max(1, entries.length)]
      if (node !== undefined) await this.fetch(node)
      await this.#sleep(ENTRY_FETCH_INTERVAL_MS)
    }
  }

  async #sleep(duration: number): Promise<void> {
    await sleep(duration, undefined, { signal: this.#abort.signal, ref: false }).catch(() => undefined)
  }
}

/** Whether this response comes from a replica that has less than its entry, for example one of another cluster. */
function isBehind(response: FollowResponse, query: FollowQuery): boolean {
  const { revision: current, departurePosition, evacuationPosition } = response
  if (current < query.revision || departurePosition < query.departurePosition) return true
  return evacuationPosition < (query.evacuationPosition ?? 0n)
}

/** Whether a replica responded that it may be behind, in place of no response. */
function isNotCurrent(cause: unknown): boolean {
  const { code, rawMessage } = ConnectError.from(cause)
  return code === Code.Unavailable && rawMessage.includes(NOT_CURRENT_MESSAGE)
}

/** Resolves to true as soon as one promise does, or to false once all resolve to false. */
async function anyTrue(promises: readonly Promise<boolean>[]): Promise<boolean> {
  return new Promise((resolve) => {
    for (const promise of promises) {
      void promise.then((result) => {
        if (result) resolve(true)
      })
    }
    void Promise.all(promises).then(() => {
      resolve(false)
    })
  })
}

export function decodeDepartures(departures: FollowResponse['departures']): DepartedServer[] {
  return departures.map(({ server, start }) => ({ server: serverId(server), start: Number(start) }))
}

/** Returns undefined if there is no document or if its text does not match its digest. */
export function decodeDocument(
  message: DeliveredDocument | undefined,
  source: DocumentSource,
): PublishedDocument | undefined {
  if (message === undefined) return undefined
  const { digest, text } = message
  if (sha256(text) !== digest) return undefined
  const environment = environmentName(message.environment)
  const version = Number(message.version)
  return { environment, revision: revision(Number(message.revision)), digest: digest as Digest, text, version, source }
}
