/**
 * Directory of servers and nodes, kept by every node. A server announces itself to any entry, which becomes its origin.
 * The origin sends heartbeats to its peers by gossip; each confirms that its set of records is current and so renews
 * all of them at once. A record therefore causes traffic only when it changes, and a receiver without heartbeats lets
 * it expire by its own clock.
 */
import { failure, type Failure, type NodeId, type ServerId } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { Departures } from './departures'
import { DEFAULT_LEASE_TIMES, LEAVING_RETENTION_MS, NODE_LEASE_MS, ORIGIN_RETENTION_MS, type LeaseTimes } from './lease'
import { Origin, type OriginDelta, type OriginVersion } from './origin'
import { BUCKET_COUNT, OriginIndex, type DirectorySummary } from './origin-index'
import { ProcessIdentity } from './process-identity'
import { SetBackStarts } from './set-back-starts'
import {
  agreesWithWarmUp,
  compareAnnouncements,
  hasSameContent,
  isLeaving,
  serverKey,
  type Node,
  type Server,
} from './record'

/** A change of the servers or nodes in view, for routing and the log. */
export type DirectoryChange =
  | { readonly kind: 'server-changed'; readonly key: string; readonly server: Server }
  | { readonly kind: 'server-left'; readonly key: string; readonly server: Server }
  | { readonly kind: 'node-changed'; readonly node: Node }
  | { readonly kind: 'node-lost'; readonly node: Node }
  /** A live process of a node states an earlier start than the process that is known. The node may be this one. */
  | { readonly kind: 'node-refused'; readonly node: NodeId; readonly start: number; readonly knownStart: number }

/** A process of a server that says that it leaves. */
export interface DepartingProcess {
  readonly server: ServerId
  /** Start that the process states. */
  readonly start: number
  /** Undefined if the process does not state it. */
  readonly address?: string
}

export interface DirectoryOptions {
  readonly self: NodeId
  /** Start time of this process in Unix milliseconds. The directory raises it if an earlier process had a later one. */
  readonly incarnation: number
  /** Counter before the first change of this process, drawn at random below 2^31. */
  readonly firstCounter?: number
  readonly now: number
  readonly leases?: LeaseTimes
}

export class Directory {
  readonly #identity: ProcessIdentity
  readonly #ownOrigin: Origin
  readonly #origins = new OriginIndex()
  /** Time of the last renewal of each server that announced itself to this node. */
  readonly #renewedAt = new Map<string, number>()
  /** Time at which the cold time in the own record of a server ends. */
  readonly #coldUntil = new Map<string, number>()
  readonly #originsByServer = new Map<string, Set<Origin>>()
  readonly #servers = new Map<string, Server>()
  readonly #nodes = new Map<NodeId, Node>()
  /** Origins whose records are currently valid. */
  readonly #validOrigins = new Set<Origin>()
  readonly #leases: LeaseTimes
  readonly #departures = new Departures()
  readonly #setBackStarts: SetBackStarts
  /** Starts of the processes that were last reported as refused. */
  readonly #refusedStarts = new Map<NodeId, number>()
  #changes: DirectoryChange[] = []

  constructor(options: DirectoryOptions) {
    this.#leases = options.leases ?? DEFAULT_LEASE_TIMES
    this.#setBackStarts = new SetBackStarts(this.#leases)
    const { self, incarnation, firstCounter = 0, now } = options
    this.#identity = new ProcessIdentity({ incarnation, firstCounter, now })
    this.#ownOrigin = new Origin(self, incarnation, now)
    this.#ownOrigin.counter = firstCounter
    this.#origins.add(this.#ownOrigin)
    this.#validOrigins.add(this.#ownOrigin)
  }

  /** Known servers by key, including draining and stopped ones. */
  get servers(): ReadonlyMap<string, Server> {
    return this.#servers
  }

  /** Live nodes, including this one once it has announced itself. */
  get nodes(): ReadonlyMap<NodeId, Node> {
    return this.#nodes
  }

  /** Incarnation of the process of a live node; undefined if the node is not known. */
  startOf(node: NodeId): number | undefined {
    return this.#nodes.has(node) ? this.#origins.get(node)?.incarnation : undefined
  }

  /** All incarnations of this process, the current one last. Nodes may have learned of any of them. */
  get incarnations(): readonly number[] {
    return this.#identity.incarnations
  }

  /** Records or renews a server that announced itself to this node. */
  announce(announcement: Server, now: number): Result<readonly DirectoryChange[], Failure> {
    const server = this.identify(announcement, now)
    const key = serverKey(server)
    const known = this.#servers.get(key)
    if (known !== undefined && compareAnnouncements(server, known) < 0) {
      return err(staleAnnouncement(server, `start ${known.start} sequence ${known.sequence}`))
    }
    const departedStart = this.#departures.startAfter(server)
    if (departedStart !== undefined) return err(staleAnnouncement(server, `start ${departedStart}, which has left`))
    this.#renewedAt.set(key, now)
    const ownRecord = this.#ownOrigin.servers.get(key)
    // Another origin may have a record with a newer state than the own record, so both have to match.
    const announced = ownRecord === undefined ? server : this.#countedDown(ownRecord.value, server, now)
    const visible = this.#departures.include(server) ? { ...announced, state: 'draining' as const } : announced
    const matches = (record: Server | undefined, other: Server) => record !== undefined && hasSameContent(record, other)
    const unchanged = matches(ownRecord?.value, announced) && matches(known, visible)
    if (!unchanged) {
      this.#ownOrigin.counter += 1
      this.#coldUntil.set(key, now + (server.warmUpMs ?? 0))
      this.#putServer(this.#ownOrigin, server, this.#ownOrigin.counter)
    }
    return ok(this.#takeChanges())
  }

  /** Returns the announcement with the start by which it is ordered, if that is not the one that its process states. */
  identify(server: Server, now: number): Server {
    const known = this.#servers.get(serverKey(server))
    if (known === undefined || this.#departures.startAfter(server) !== undefined) return server
    return this.#setBackStarts.identify(serverKey(server), server, known, now)
  }

  /**
   * Returns the start by which the process that leaves is known; undefined if the server is in use as a process that
   * seems newer, and it is not known whether the one that leaves has replaced it.
   */
  departingStart({ server, start, address }: DepartingProcess): number | undefined {
    if (this.#departures.hasLeft(server, start)) return start
    for (const record of this.#servers.values()) {
      if (record.server !== server) continue
      if (record.statedStart === start) return record.start
      const isOther = address !== undefined && address !== record.address
      if (record.start > start && !isLeaving(record) && !isOther) return undefined
    }
    return start
  }

  /** Returns the announcement with the cold time of the record if it differs only by the time that has passed. */
  #countedDown(record: Server, server: Server, now: number): Server {
    const { warmUpMs } = record
    const coldUntil = this.#coldUntil.get(serverKey(server)) ?? now
    if (warmUpMs === undefined || !agreesWithWarmUp(record, server, coldUntil, now)) return server
    return { ...server, warmUpMs }
  }

  /** Applies a decision of control: this process of the server and earlier ones get no new calls in any case. */
  depart(server: ServerId, start: number, now: number): readonly DirectoryChange[] {
    if (!this.#departures.add(server, start, now)) return []
    this.#reselectServer(server)
    return this.#takeChanges()
  }

  /** Sets this node's own record. */
  announceSelf(node: Node, now: number): readonly DirectoryChange[] {
    this.#ownOrigin.counter += 1
    this.#ownOrigin.node = { value: node, counter: this.#ownOrigin.counter }
    this.#ownOrigin.lastHeartbeatAt = now
    this.#updateNode(this.#ownOrigin, now)
    return this.#takeChanges()
  }

  /**
   * Returns a digest of the known origins and the ages that their heartbeats will have after `transitMs`, for comparison
   * by a peer.
   */
  summary(now: number, transitMs = 0): DirectorySummary {
    this.#expireOwnServers(now)
    return this.#origins.summary(now, transitMs)
  }

  /**
   * Applies the ages of a peer's summary to the buckets in which both know the same changes. Returns the numbers of the
   * other buckets, which have to be compared by versions. `transitMs` is the time since the peer computed the ages, as far
   * as it is not contained in them.
   */
  mergeSummary(
    peer: DirectorySummary,
    now: number,
    transitMs = 0,
  ): { readonly differing: readonly number[]; readonly changes: readonly DirectoryChange[] } {
    const differing = this.#origins.differingBuckets(this.summary(now), peer.digests)
    for (let bucket = 0; bucket < BUCKET_COUNT; bucket += 1) {
      if (!differing.includes(bucket)) this.#mergeAges(bucket, peer.ages[bucket], now - transitMs)
    }
    this.#refresh(now)
    return { differing, changes: this.#takeChanges() }
  }

  /** Applies ages of the origins of one bucket, whose digest was compared before. */
  #mergeAges(bucket: number, ages: Uint8Array | undefined, computedAt: number): void {
    if (ages === undefined) return
    this.#origins.forEachAge(bucket, ages, (origin, ageMs) => {
      if (origin === this.#ownOrigin || ageMs >= ORIGIN_RETENTION_MS) return
      origin.lastHeartbeatAt = Math.max(origin.lastHeartbeatAt, computedAt - ageMs)
    })
  }

  /** Returns the versions of the known origins, of all or of some buckets, for comparison by a peer. */
  versions(now: number, buckets?: readonly number[]): readonly OriginVersion[] {
    this.#expireOwnServers(now)
    const origins =
      buckets === undefined ? [...this.#origins.values()] : buckets.flatMap((bucket) => this.#origins.bucket(bucket))
    return origins
      .filter((origin) => now - origin.lastHeartbeatAt < ORIGIN_RETENTION_MS)
      .map((origin) => origin.version(now))
  }

  /** Returns the changes, of all or of some buckets, that a peer with these versions does not have. */
  deltasFor(peer: readonly OriginVersion[], now: number, buckets?: readonly number[]): readonly OriginDelta[] {
    const known = new Map(peer.map((version) => [version.origin, version]))
    const deltas: OriginDelta[] = []
    for (const version of this.versions(now, buckets)) {
      const origin = this.#origins.get(version.origin)
      const peerVersion = known.get(version.origin)
      if (origin === undefined || (peerVersion !== undefined && peerVersion.incarnation > version.incarnation)) continue
      const since = peerVersion?.incarnation === version.incarnation ? peerVersion.counter : undefined
      if (since === undefined || since < version.counter) deltas.push(origin.deltaSince(since, now))
    }
    return deltas
  }

  /** Whether a peer with these versions has changes that this node does not have. */
  isBehind(peer: readonly OriginVersion[]): boolean {
    return peer.some((version) => {
      const own = this.#origins.get(version.origin)
      if (version.origin === this.#ownOrigin.id) return false
      if (own === undefined || own.incarnation < version.incarnation) return true
      return own.incarnation === version.incarnation && own.counter < version.counter
    })
  }

  /** Applies the deltas first, then the heartbeats of sets that are known up to the counter of the heartbeat. */
  merge(versions: readonly OriginVersion[], deltas: readonly OriginDelta[], now: number): readonly DirectoryChange[] {
    for (const delta of deltas) this.#applyDelta(delta, now)
    for (const version of versions) {
      if (version.origin === this.#ownOrigin.id) this.#checkIdentity(version, now)
      this.#applyHeartbeat(version, now)
      this.#reportRefused(version, now)
    }
    this.#refresh(now)
    return this.#takeChanges()
  }

  /** Expires leases. Call it before a routing decision that may be late, for example after the process was paused. */
  expire(now: number): readonly DirectoryChange[] {
    this.#expireOwnServers(now)
    for (const server of this.#departures.expire(now)) this.#reselectServer(server)
    this.#refresh(now)
    for (const origin of this.#origins.values()) {
      origin.pruneRemovals(now)
      if (now - origin.lastHeartbeatAt >= ORIGIN_RETENTION_MS) this.#removeOrigin(origin)
    }
    return this.#takeChanges()
  }

  /** Removes the servers of this node that did not renew in time. The remaining set is current as of `now`. */
  #expireOwnServers(now: number): void {
    for (const [key, renewedAt] of this.#renewedAt) {
      const record = this.#ownOrigin.servers.get(key)
      const hasLeft = record !== undefined && isLeaving(record.value)
      if (now - renewedAt < (hasLeft ? LEAVING_RETENTION_MS : this.#leases.renewalTimeoutMs)) continue
      this.#renewedAt.delete(key)
      this.#coldUntil.delete(key)
      this.#ownOrigin.counter += 1
      this.#ownOrigin.remove(key, this.#ownOrigin.counter, now)
      this.#originsByServer.get(key)?.delete(this.#ownOrigin)
      this.#reselect(key)
    }
    this.#ownOrigin.lastHeartbeatAt = now
  }

  #applyDelta(delta: OriginDelta, now: number): void {
    const { version } = delta
    if (version.origin === this.#ownOrigin.id || version.ageMs >= ORIGIN_RETENTION_MS) return
    const origin = this.#originFor(version, now, delta.full)
    if (origin === undefined) return
    if (delta.full) for (const key of origin.clear()) this.#removeServer(origin, key)
    for (const record of delta.servers) this.#putServer(origin, record.value, record.counter)
    for (const removal of delta.removed) {
      origin.remove(removal.value, removal.counter, now)
      this.#removeServer(origin, removal.value)
    }
    if (delta.node !== undefined) {
      origin.node = delta.node
      this.#updateNode(origin, now)
    }
    if (delta.full) origin.raisePrunedCounter(version.counter)
    origin.counter = version.counter
    this.#applyHeartbeat(version, now)
  }

  /** Returns the origin to which the delta applies, if any. A newer incarnation replaces a known origin. */
  #originFor(version: OriginVersion, now: number, full: boolean): Origin | undefined {
    const known = this.#origins.get(version.origin)
    if (known !== undefined && known.incarnation > version.incarnation) return undefined
    if (known?.incarnation === version.incarnation) return known.counter < version.counter ? known : undefined
    if (!full) return undefined
    if (known !== undefined) this.#removeOrigin(known)
    const origin = new Origin(version.origin, version.incarnation, now - version.ageMs)
    this.#origins.add(origin)
    this.#validOrigins.add(origin)
    return origin
  }

  #applyHeartbeat(version: OriginVersion, now: number): void {
    const origin = this.#origins.get(version.origin)
    if (origin === undefined || origin === this.#ownOrigin) return
    // The heartbeat of a newer set does not confirm the older set known here: a server may have left since.
    if (origin.incarnation !== version.incarnation || origin.counter !== version.counter) return
    origin.lastHeartbeatAt = Math.max(origin.lastHeartbeatAt, now - version.ageMs)
  }

  /** Peers ignore the records of this process if they know another one whose incarnation is not lower. */
  #checkIdentity(version: OriginVersion, now: number): void {
    const { id, incarnation, counter } = this.#ownOrigin
    const result = this.#identity.check(version, counter, now)
    this.#ownOrigin.incarnation = this.#identity.incarnation
    if (result !== 'yields' || this.#refusedStarts.get(id) === version.incarnation) return
    this.#refusedStarts.set(id, version.incarnation)
    this.#changes.push({ kind: 'node-refused', node: id, start: incarnation, knownStart: version.incarnation })
  }

  #reportRefused({ origin, incarnation, ageMs }: OriginVersion, now: number): void {
    const known = this.#origins.get(origin)
    if (known === undefined || known === this.#ownOrigin || incarnation >= known.incarnation || ageMs >= NODE_LEASE_MS)
      return
    const isLost = now - known.lastHeartbeatAt >= NODE_LEASE_MS
    if (!isLost || this.#refusedStarts.get(origin) === incarnation) return
    this.#refusedStarts.set(origin, incarnation)
    this.#changes.push({ kind: 'node-refused', node: origin, start: incarnation, knownStart: known.incarnation })
  }

  /** Updates the known servers and nodes after origins became valid or expired. */
  #refresh(now: number): void {
    for (const origin of this.#origins.values()) {
      const isValid = origin === this.#ownOrigin || now - origin.lastHeartbeatAt < this.#leases.originLeaseMs
      if (isValid !== this.#validOrigins.has(origin)) {
        if (isValid) this.#validOrigins.add(origin)
        else this.#validOrigins.delete(origin)
        for (const key of origin.servers.keys()) this.#reselect(key)
      }
      this.#updateNode(origin, now)
    }
  }

  #putServer(origin: Origin, server: Server, counter: number): void {
    const key = serverKey(server)
    origin.put(server, counter)
    const origins = this.#originsByServer.get(key) ?? new Set<Origin>()
    origins.add(origin)
    this.#originsByServer.set(key, origins)
    this.#reselect(key)
  }

  #removeServer(origin: Origin, key: string): void {
    this.#originsByServer.get(key)?.delete(origin)
    this.#reselect(key)
  }

  /** Selects the newest record of a server among the valid origins. */
  #reselect(key: string): void {
    let newest: Server | undefined
    for (const origin of this.#originsByServer.get(key) ?? []) {
      const record = this.#validOrigins.has(origin) ? origin.servers.get(key)?.value : undefined
      if (record !== undefined && (newest === undefined || compareAnnouncements(record, newest) > 0)) newest = record
    }
    if (this.#originsByServer.get(key)?.size === 0) this.#originsByServer.delete(key)
    const previous = this.#servers.get(key)
    if (newest === undefined) {
      this.#servers.delete(key)
      if (previous !== undefined) this.#changes.push({ kind: 'server-left', key, server: previous })
      return
    }
    const visible = this.#departures.include(newest) ? { ...newest, state: 'draining' as const } : newest
    this.#servers.set(key, visible)
    if (previous === undefined || !hasSameContent(previous, visible)) {
      this.#changes.push({ kind: 'server-changed', key, server: visible })
    }
  }

  #reselectServer(server: ServerId): void {
    for (const [key, record] of [...this.#servers]) if (record.server === server) this.#reselect(key)
  }

  #updateNode(origin: Origin, now: number): void {
    const known = this.#nodes.get(origin.id)
    const record = origin.node?.value
    const isLive = record !== undefined && now - origin.lastHeartbeatAt < NODE_LEASE_MS
    if (isLive && known !== record) {
      this.#nodes.set(origin.id, record)
      this.#changes.push({ kind: 'node-changed', node: record })
    }
    if (!isLive && known !== undefined) {
      this.#nodes.delete(origin.id)
      this.#changes.push({ kind: 'node-lost', node: known })
    }
  }

  #removeOrigin(origin: Origin): void {
    this.#origins.delete(origin.id)
    this.#validOrigins.delete(origin)
    for (const key of origin.clear()) this.#removeServer(origin, key)
    const node = this.#nodes.get(origin.id)
    if (this.#nodes.delete(origin.id) && node !== undefined) this.#changes.push({ kind: 'node-lost', node })
  }

  #takeChanges(): readonly DirectoryChange[] {
    const changes = this.#changes
    this.#changes = []
    return changes
  }
}

function staleAnnouncement({ start, sequence }: Server, known: string): Failure {
  return failure('announcementStale', `start ${start} sequence ${sequence} is older than the known ${known}`)
}
