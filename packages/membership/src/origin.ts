/**
 * State of one origin: the set of servers that announced themselves to it, its node record, and the time of its last
 * heartbeat, which confirms that this set is current. Changes are numbered, so peers exchange only missing changes.
 */
import type { NodeId } from '@bilberrystall/base'
import { REMOVAL_RETENTION_MS } from './lease'
import { serverKey, type Node, type Server } from './record'

export interface OriginVersion {
  readonly origin: NodeId
  /** Tells the processes of the origin apart; a later one has a higher one. Begins as a start time in Unix ms. */
  readonly incarnation: number
  /** Counter of the origin at the last change of its set or node record. */
  readonly counter: number
  /** Time in ms since the last heartbeat of the origin. */
  readonly ageMs: number
}

/** A value with the counter of its origin at the last change of the value. */
export interface Versioned<Value> {
  readonly value: Value
  readonly counter: number
}

export interface OriginDelta {
  readonly version: OriginVersion
  readonly servers: readonly Versioned<Server>[]
  readonly node: Versioned<Node> | undefined
  /** Keys of servers that were removed from the set of the origin. */
  readonly removed: readonly Versioned<string>[]
  /** Whether the delta replaces the whole set. */
  readonly full: boolean
}

/** Adds time in transit to the ages of heartbeats. Without it they would become younger with each node on their way. */
export function ageVersions(versions: readonly OriginVersion[], transitMs: number): readonly OriginVersion[] {
  return versions.map((version) => ({ ...version, ageMs: version.ageMs + Math.round(transitMs) }))
}

export function ageDeltas(deltas: readonly OriginDelta[], transitMs: number): readonly OriginDelta[] {
  return deltas.map((delta) => ({
    ...delta,
    version: { ...delta.version, ageMs: delta.version.ageMs + Math.round(transitMs) },
  }))
}

/** Digest of id, incarnation and counter, kept until one of them changes. */
export interface OriginDigest {
  readonly incarnation: number
  readonly counter: number
  readonly lanes: readonly number[]
}

interface Removal {
  readonly counter: number
  readonly removedAt: number
}

export class Origin {
  readonly id: NodeId
  incarnation: number
  counter = 0
  /** Local time of the last heartbeat. */
  lastHeartbeatAt: number
  node: Versioned<Node> | undefined
  digest: OriginDigest | undefined
  readonly #servers = new Map<string, Versioned<Server>>()
  readonly #removed = new Map<string, Removal>()
  /** Removals up to this counter may have been pruned. */
  #prunedCounter = 0

  constructor(id: NodeId, incarnation: number, lastHeartbeatAt: number) {
    this.id = id
    this.incarnation = incarnation
    this.lastHeartbeatAt = lastHeartbeatAt
  }

  get servers(): ReadonlyMap<string, Versioned<Server>> {
    return this.#servers
  }

  version(now: number): OriginVersion {
    const ageMs = Math.max(0, Math.round(now - this.lastHeartbeatAt))
    return { origin: this.id, incarnation: this.incarnation, counter: this.counter, ageMs }
  }

  put(server: Server, counter: number): void {
    const key = serverKey(server)
    this.#servers.set(key, { value: server, counter })
    this.#removed.delete(key)
  }

  remove(key: string, counter: number, now: number): void {
    this.#servers.delete(key)
    this.#removed.set(key, { counter, removedAt: now })
  }

  clear(): readonly string[] {
    const keys = [...this.#servers.keys()]
    this.#servers.clear()
    this.#removed.clear()
    return keys
  }

  /** Returns the changes after `since`, or the whole set if removals since then may have been pruned. */
  deltaSince(since: number | undefined, now: number): OriginDelta {
    const full = since === undefined || since < this.#prunedCounter
    const from = full ? -1 : since
    const servers = [...this.#servers.values()].filter((record) => record.counter > from)
    const removed = full ? [] : [...this.#removed].filter(([, removal]) => removal.counter > from)
    return {
      version: this.version(now),
      servers,
      node: this.node !== undefined && this.node.counter > from ? this.node : undefined,
      removed: removed.map(([key, removal]) => ({ value: key, counter: removal.counter })),
      full,
    }
  }

  pruneRemovals(now: number): void {
    for (const [key, removal] of this.#removed) {
      if (now - removal.removedAt < REMOVAL_RETENTION_MS) continue
      this.#removed.delete(key)
      this.#prunedCounter = Math.max(this.#prunedCounter, removal.counter)
    }
  }

  /** Called after the whole set was received from a peer, because that contains no earlier removals. */
  raisePrunedCounter(counter: number): void {
    this.#prunedCounter = Math.max(this.#prunedCounter, counter)
  }
}
