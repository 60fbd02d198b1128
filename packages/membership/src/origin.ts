/**
 * What is known of one origin: the set of servers that announced themselves to it, its node record, and the time of
 * its last statement that this set is current. Changes are numbered, so peers exchange only what the other side lacks.
 */
import type { NodeId } from '@bilberrystall/base'
import { REMOVAL_RETENTION_MS } from './lease'
import { serverKey, type Node, type Server } from './record'

export interface OriginVersion {
  readonly origin: NodeId
  readonly incarnation: number
  readonly counter: number
  /** Age of the origin's last statement in milliseconds. */
  readonly ageMs: number
}

export interface Numbered<Value> {
  readonly value: Value
  readonly counter: number
}

export interface OriginDelta {
  readonly version: OriginVersion
  readonly servers: readonly Numbered<Server>[]
  readonly node: Numbered<Node> | undefined
  /** Keys of servers that left the origin's set. */
  readonly removed: readonly Numbered<string>[]
  /** The delta replaces the whole set. */
  readonly full: boolean
}

interface Removal {
  readonly counter: number
  readonly at: number
}

export class Origin {
  readonly id: NodeId
  readonly incarnation: number
  counter = 0
  /** Local time of the last statement that the set is current. */
  statementAt: number
  node: Numbered<Node> | undefined
  readonly #servers = new Map<string, Numbered<Server>>()
  readonly #removed = new Map<string, Removal>()
  /** Removals up to this counter are forgotten. */
  #horizon = 0

  constructor(id: NodeId, incarnation: number, statementAt: number) {
    this.id = id
    this.incarnation = incarnation
    this.statementAt = statementAt
  }

  get servers(): ReadonlyMap<string, Numbered<Server>> {
    return this.#servers
  }

  version(now: number): OriginVersion {
    const ageMs = Math.max(0, Math.round(now - this.statementAt))
    return { origin: this.id, incarnation: this.incarnation, counter: this.counter, ageMs }
  }

  put(server: Server, counter: number): void {
    const key = serverKey(server)
    this.#servers.set(key, { value: server, counter })
    this.#removed.delete(key)
  }

  remove(key: string, counter: number, now: number): void {
    this.#servers.delete(key)
    this.#removed.set(key, { counter, at: now })
  }

  clear(): readonly string[] {
    const keys = [...this.#servers.keys()]
    this.#servers.clear()
    this.#removed.clear()
    return keys
  }

  /** Everything after `since`, or the whole set where removals since then are forgotten. */
  deltaSince(since: number | undefined, now: number): OriginDelta {
    const full = since === undefined || since < this.#horizon
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

  forgetRemovals(now: number): void {
    for (const [key, removal] of this.#removed) {
      if (now - removal.at < REMOVAL_RETENTION_MS) continue
      this.#removed.delete(key)
      this.#horizon = Math.max(this.#horizon, removal.counter)
    }
  }

  /** A copy received from a peer cannot know older removals than those it saw itself. */
  raiseHorizon(counter: number): void {
    this.#horizon = Math.max(this.#horizon, counter)
  }
}
