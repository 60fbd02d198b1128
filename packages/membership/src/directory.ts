/**
 * Directory of servers and nodes. Every node keeps one. A server announces itself to any entry, its origin; the origin
 * states to its peers, by gossip, that its set is current, which renews all its records at once. A record therefore
 * costs traffic only when it changes, and a receiver that hears nothing lets it expire by its own clock.
 */
import { failure, type Failure, type NodeId, type ServerId } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { DEFAULT_LEASE_TIMES, LEAVING_RETENTION_MS, NODE_LEASE_MS, ORIGIN_RETENTION_MS, type LeaseTimes } from './lease'
import { Origin, type OriginDelta, type OriginVersion } from './origin'
import { compareOrder, sameContent, serverKey, type Node, type Server } from './record'

/** A change of the view, for routing and the log. */
export type Change =
  | { readonly kind: 'server-changed'; readonly key: string; readonly server: Server }
  | { readonly kind: 'server-left'; readonly key: string; readonly server: Server }
  | { readonly kind: 'node-changed'; readonly node: Node }
  | { readonly kind: 'node-lost'; readonly node: Node }

export interface DirectoryOptions {
  readonly self: NodeId
  /** Start time of this process in Unix milliseconds. */
  readonly incarnation: number
  readonly now: number
  readonly leases?: LeaseTimes
}

/** Departures remembered, far more than servers leave within the lease of one. */
const DEPARTURES_KEPT = 4_000

export class Directory {
  readonly #self: Origin
  readonly #origins = new Map<NodeId, Origin>()
  /** Time of the last renewal of servers that announced themselves here. */
  readonly #renewedAt = new Map<string, number>()
  readonly #holders = new Map<string, Set<Origin>>()
  readonly #servers = new Map<string, Server>()
  readonly #nodes = new Map<NodeId, Node>()
  /** Origins whose records count now. */
  readonly #fresh = new Set<Origin>()
  readonly #leases: LeaseTimes
  /** Start of the newest process of a server that departed: it and earlier ones count as draining. */
  readonly #departed = new Map<ServerId, number>()
  #changes: Change[] = []

  constructor(options: DirectoryOptions) {
    this.#leases = options.leases ?? DEFAULT_LEASE_TIMES
    this.#self = new Origin(options.self, options.incarnation, options.now)
    this.#origins.set(options.self, this.#self)
    this.#fresh.add(this.#self)
  }

  /** Servers in view by key, draining and stopped ones included. */
  get servers(): ReadonlyMap<string, Server> {
    return this.#servers
  }

  /** Live nodes, this one included once it has announced itself. */
  get nodes(): ReadonlyMap<NodeId, Node> {
    return this.#nodes
  }

  /** Records or renews a server that announced itself to this node. */
  announce(server: Server, now: number): Result<readonly Change[], Failure> {
    const key = serverKey(server)
    const known = this.#servers.get(key)
    if (known !== undefined && compareOrder(server, known) < 0) {
      const message = `start ${server.start} sequence ${server.sequence} is older than the known announcement`
      return err(failure('announcementStale', message))
    }
    this.#renewedAt.set(key, now)
    const own = this.#self.servers.get(key)
    // A record of another origin may hold a newer state than the own one, so both have to match.
    const shown = this.#hasDeparted(server) ? { ...server, state: 'draining' as const } : server
    const isSame = (record: Server | undefined, other: Server) => record !== undefined && sameContent(record, other)
    const unchanged = isSame(own?.value, server) && isSame(known, shown)
    if (!unchanged) {
      this.#self.counter += 1
      this.#place(this.#self, server, this.#self.counter)
    }
    return ok(this.#takeChanges())
  }

  /** Control decided that the process of a server, and earlier ones, get no new call, whatever they announce. */
  depart(server: ServerId, start: number): readonly Change[] {
    const known = this.#departed.get(server)
    if (known !== undefined && known >= start) return []
    this.#departed.delete(server)
    this.#departed.set(server, start)
    if (this.#departed.size > DEPARTURES_KEPT) {
      const [oldest] = this.#departed.keys()
      if (oldest !== undefined) this.#departed.delete(oldest)
    }
    for (const [key, record] of [...this.#servers]) if (record.server === server) this.#reselect(key)
    return this.#takeChanges()
  }

  /** Sets this node's own record. */
  announceSelf(node: Node, now: number): readonly Change[] {
    this.#self.counter += 1
    this.#self.node = { value: node, counter: this.#self.counter }
    this.#self.statementAt = now
    this.#setNode(this.#self, now)
    return this.#takeChanges()
  }

  /** What this node knows of each origin, for a peer to compare. */
  versions(now: number): readonly OriginVersion[] {
    this.#sweepOwn(now)
    return [...this.#origins.values()]
      .filter((origin) => now - origin.statementAt < ORIGIN_RETENTION_MS)
      .map((origin) => origin.version(now))
  }

  /** What a peer with these versions lacks. */
  deltasFor(peer: readonly OriginVersion[], now: number): readonly OriginDelta[] {
    const known = new Map(peer.map((version) => [version.origin, version]))
    const deltas: OriginDelta[] = []
    for (const version of this.versions(now)) {
      const origin = this.#origins.get(version.origin)
      const theirs = known.get(version.origin)
      if (origin === undefined || (theirs !== undefined && theirs.incarnation > version.incarnation)) continue
      const since = theirs?.incarnation === version.incarnation ? theirs.counter : undefined
      if (since === undefined || since < version.counter) deltas.push(origin.deltaSince(since, now))
    }
    return deltas
  }

  /** Whether a peer with these versions knows more than this node. */
  lacks(peer: readonly OriginVersion[]): boolean {
    return peer.some((version) => {
      const own = this.#origins.get(version.origin)
      if (version.origin === this.#self.id) return false
      if (own === undefined || own.incarnation < version.incarnation) return true
      return own.incarnation === version.incarnation && own.counter < version.counter
    })
  }

  /** Takes in deltas first, then statements about sets that are known up to the stated counter. */
  merge(versions: readonly OriginVersion[], deltas: readonly OriginDelta[], now: number): readonly Change[] {
    for (const delta of deltas) this.#applyDelta(delta, now)
    for (const version of versions) this.#applyStatement(version, now)
    this.#refresh(now)
    return this.#takeChanges()
  }

  /** Lets leases expire. Call it before a routing decision that may come late, for example after the process froze. */
  expire(now: number): readonly Change[] {
    this.#sweepOwn(now)
    this.#refresh(now)
    for (const origin of this.#origins.values()) {
      origin.forgetRemovals(now)
      if (now - origin.statementAt >= ORIGIN_RETENTION_MS) this.#forget(origin)
    }
    return this.#takeChanges()
  }

  /** Removes this node's servers that did not renew; what remains is current as of `now`. */
  #sweepOwn(now: number): void {
    for (const [key, renewedAt] of this.#renewedAt) {
      const record = this.#self.servers.get(key)
      const leaving = record?.value.state === 'draining' || record?.value.state === 'stopped'
      if (now - renewedAt < (leaving ? LEAVING_RETENTION_MS : this.#leases.serverFreshMs)) continue
      this.#renewedAt.delete(key)
      this.#self.counter += 1
      this.#self.remove(key, this.#self.counter, now)
      this.#holders.get(key)?.delete(this.#self)
      this.#reselect(key)
    }
    this.#self.statementAt = now
  }

  #applyDelta(delta: OriginDelta, now: number): void {
    const { version } = delta
    if (version.origin === this.#self.id || version.ageMs >= ORIGIN_RETENTION_MS) return
    const origin = this.#originFor(version, now, delta.full)
    if (origin === undefined) return
    if (delta.full) for (const key of origin.clear()) this.#drop(origin, key)
    for (const record of delta.servers) this.#place(origin, record.value, record.counter)
    for (const removal of delta.removed) {
      origin.remove(removal.value, removal.counter, now)
      this.#drop(origin, removal.value)
    }
    if (delta.node !== undefined) {
      origin.node = delta.node
      this.#setNode(origin, now)
    }
    if (delta.full) origin.raiseHorizon(version.counter)
    origin.counter = version.counter
    this.#applyStatement(version, now)
  }

  /** The known origin if the delta fits onto it; a new incarnation replaces it. */
  #originFor(version: OriginVersion, now: number, full: boolean): Origin | undefined {
    const known = this.#origins.get(version.origin)
    if (known !== undefined && known.incarnation > version.incarnation) return undefined
    if (known?.incarnation === version.incarnation) return known.counter < version.counter ? known : undefined
    if (!full) return undefined
    if (known !== undefined) this.#forget(known)
    const origin = new Origin(version.origin, version.incarnation, now - version.ageMs)
    this.#origins.set(version.origin, origin)
    this.#fresh.add(origin)
    return origin
  }

  #applyStatement(version: OriginVersion, now: number): void {
    const origin = this.#origins.get(version.origin)
    if (origin === undefined || origin === this.#self) return
    // A statement about a newer set says nothing of the older one known here: a server may have left since.
    if (origin.incarnation !== version.incarnation || origin.counter !== version.counter) return
    origin.statementAt = Math.max(origin.statementAt, now - version.ageMs)
  }

  /** Brings the view in line with which origins count now. */
  #refresh(now: number): void {
    for (const origin of this.#origins.values()) {
      const fresh = origin === this.#self || now - origin.statementAt < this.#leases.originLeaseMs
      if (fresh !== this.#fresh.has(origin)) {
        if (fresh) this.#fresh.add(origin)
        else this.#fresh.delete(origin)
        for (const key of origin.servers.keys()) this.#reselect(key)
      }
      this.#setNode(origin, now)
    }
  }

  #place(origin: Origin, server: Server, counter: number): void {
    const key = serverKey(server)
    origin.put(server, counter)
    const holders = this.#holders.get(key) ?? new Set<Origin>()
    holders.add(origin)
    this.#holders.set(key, holders)
    this.#reselect(key)
  }

  #drop(origin: Origin, key: string): void {
    this.#holders.get(key)?.delete(origin)
    this.#reselect(key)
  }

  /** Chooses the newest record of a server among origins that count. */
  #reselect(key: string): void {
    let newest: Server | undefined
    for (const origin of this.#holders.get(key) ?? []) {
      const record = this.#fresh.has(origin) ? origin.servers.get(key)?.value : undefined
      if (record !== undefined && (newest === undefined || compareOrder(record, newest) > 0)) newest = record
    }
    if (this.#holders.get(key)?.size === 0) this.#holders.delete(key)
    const before = this.#servers.get(key)
    if (newest === undefined) {
      this.#servers.delete(key)
      if (before !== undefined) this.#changes.push({ kind: 'server-left', key, server: before })
      return
    }
    const shown = this.#hasDeparted(newest) ? { ...newest, state: 'draining' as const } : newest
    this.#servers.set(key, shown)
    if (before === undefined || !sameContent(before, shown)) {
      this.#changes.push({ kind: 'server-changed', key, server: shown })
    }
  }

  #hasDeparted({ server, start, state }: Server): boolean {
    if (state !== 'starting' && state !== 'ready') return false
    return start <= (this.#departed.get(server) ?? Number.NEGATIVE_INFINITY)
  }

  #setNode(origin: Origin, now: number): void {
    const known = this.#nodes.get(origin.id)
    const record = origin.node?.value
    const live = record !== undefined && now - origin.statementAt < NODE_LEASE_MS
    if (live && known !== record) {
      this.#nodes.set(origin.id, record)
      this.#changes.push({ kind: 'node-changed', node: record })
    }
    if (!live && known !== undefined) {
      this.#nodes.delete(origin.id)
      this.#changes.push({ kind: 'node-lost', node: known })
    }
  }

  #forget(origin: Origin): void {
    this.#origins.delete(origin.id)
    this.#fresh.delete(origin)
    for (const key of origin.clear()) this.#drop(origin, key)
    const node = this.#nodes.get(origin.id)
    if (this.#nodes.delete(origin.id) && node !== undefined) this.#changes.push({ kind: 'node-lost', node })
  }

  #takeChanges(): readonly Change[] {
    const changes = this.#changes
    this.#changes = []
    return changes
  }
}
