/**
 * Fleet of entries that repeat whatever their retry budgets allow: routers with the limits that an entry gives them, each
 * with its own view of the other entries. No request is ever answered, so each repeats as often as it may.
 */
import { environmentName, failureDomain, nodeId, seededRandom, serviceName, type NodeId } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import type { Node, NodeState } from '@bilberrystall/membership'
import { callId, Router } from '@bilberrystall/routing'
import { configureLimits, entrySharing } from '../src/entry-limits'
import { EntryList } from '../src/entry-list'
import type { RetryAllowance } from '../src/adapter'

const ENVIRONMENT = environmentName('production')
const SERVICE = serviceName('gauge')
const DOCUMENT = parseDocument(
  '[document]\ntitle = t\n[service.gauge]\n[route.gauge]\nservice = gauge\n',
)._unsafeUnwrap()
const STEP_MS = 10
const CALL_DEADLINE_MS = 1_500

export interface RetryFleetOptions {
  readonly entries: number
  readonly callsPerSecond: number
  /** Factor on that at a time, default 1. */
  readonly swing?: (now: number) => number
  readonly allowance: RetryAllowance
  readonly seed?: number
}

interface FleetEntry {
  readonly id: NodeId
  /** The other entries that this one knows. */
  readonly nodes: Map<NodeId, Node>
  readonly list: EntryList
  readonly router: Router
}

export class RetryFleet {
  now = 0
  readonly #options: RetryFleetOptions
  readonly #ids: readonly NodeId[]
  readonly #entries: FleetEntry[]
  readonly #calls: number[] = []
  readonly #repeats: number[] = []
  readonly #random
  #due = 0

  constructor(options: RetryFleetOptions) {
    this.#options = options
    this.#random = seededRandom(options.seed ?? 1)
    this.#ids = Array.from({ length: options.entries }, (_, index) => nodeId(`entry-${index}`))
    this.#entries = this.#ids.map((id) => this.#start(id))
  }

  get size(): number {
    return this.#entries.length
  }

  /** Makes an entry aware of others. */
  meet(index: number, others: Iterable<number>): void {
    for (const other of others) if (other !== index) this.#see(this.#entry(index), other)
  }

  meetAll(): void {
    for (let index = 0; index < this.size; index += 1) this.meet(index, this.#ids.keys())
  }

  /** An entry no longer hears of others. */
  lose(index: number, others: Iterable<number>, state: NodeState = 'serving'): void {
    const { nodes, list } = this.#entry(index)
    for (const other of others) {
      const node = this.#node(other, state)
      if (nodes.delete(node.node)) list.nodeChanged({ kind: 'node-lost', node })
    }
  }

  /** A process stops in an orderly way and another one takes its place; both learn of it at once. */
  restart(index: number): void {
    for (const other of this.#ids.keys()) if (other !== index) this.lose(other, [index], 'leaving')
    this.#entries[index] = this.#start(this.#id(index))
    this.meet(index, this.#ids.keys())
    for (const other of this.#ids.keys()) if (other !== index) this.#see(this.#entry(other), index)
    this.#configure(this.#entry(index))
  }

  /** All entries apply a revision of the document. */
  revise(): void {
    for (const entry of this.#entries) this.#configure(entry)
  }

  /** Runs until `end`, with calls at random entries. `act` is called every 10 ms. */
  run(end: number, act: (now: number) => void = () => undefined): void {
    const { callsPerSecond, swing = () => 1 } = this.#options
    while (this.now < end) {
      act(this.now)
      this.#due += (callsPerSecond * swing(this.now) * STEP_MS) / 1_000
      for (; this.#due >= 1; this.#due -= 1) this.#call(Math.floor(this.#random() * this.size))
      this.now += STEP_MS
    }
  }

  /** Repeats in the window that exceeds its allowance most or comes closest to it, and the allowance. */
  worstWindow(): { readonly repeats: number; readonly allowed: number } {
    const { share, extraRetries, windowMs } = this.#options.allowance
    let worst = { repeats: 0, allowed: Number.POSITIVE_INFINITY }
    for (let end = STEP_MS; end <= this.now; end += STEP_MS * 10) {
      const calls = Math.max(...[0, 0.5, 1].map((shift) => countUntil(this.#calls, end - shift * windowMs, windowMs)))
      const repeats = countUntil(this.#repeats, end, windowMs)
      const allowed = share * calls + extraRetries
      if (repeats - allowed > worst.repeats - worst.allowed) worst = { repeats, allowed }
    }
    return worst
  }

  /** Repeats in the window that ends now. */
  get recentRepeats(): number {
    return countUntil(this.#repeats, this.now, this.#options.allowance.windowMs)
  }

  #start(id: NodeId): FleetEntry {
    const { allowance } = this.#options
    const { windowMs } = allowance
    const nodes = new Map<NodeId, Node>()
    const list = new EntryList({ self: id, directory: { nodes }, now: () => this.now }, ENVIRONMENT, { windowMs })
    const router = new Router({ random: this.#random, ...entrySharing(id, list, { retries: allowance }) })
    return { id, nodes, list, router }
  }

  #configure({ router }: FleetEntry): void {
    configureLimits(DOCUMENT, router, { retries: this.#options.allowance }, this.now)
  }

  #call(index: number): void {
    const { router } = this.#entry(index)
    const id = callId(this.#calls.length)
    this.#calls.push(this.now)
    const deadline = this.now + CALL_DEADLINE_MS
    router.submit({ id, service: SERVICE, urgency: 'urgent', repeatable: true, deadline }, this.now)
    while (router.mayRetry(SERVICE, this.now)) this.#repeats.push(this.now)
  }

  #see({ nodes, list }: FleetEntry, other: number): void {
    const node = this.#node(other, 'serving')
    nodes.set(node.node, node)
    list.nodeChanged({ kind: 'node-changed', node })
  }

  #entry(index: number): FleetEntry {
    const entry = this.#entries[index]
    if (entry === undefined) throw new Error(`no entry ${index}`)
    return entry
  }

  #id(index: number): NodeId {
    return this.#entry(index).id
  }

  #node(index: number, state: NodeState): Node {
    return {
      node: this.#id(index),
      roles: ['entry'],
      address: '127.0.0.1:1',
      failureDomain: failureDomain('a'),
      region: 'r',
      environment: ENVIRONMENT,
      state,
      disk: '',
      documents: [],
      ejected: [],
    }
  }
}

/** Number of the sorted times in the window that ends at `end`. */
function countUntil(times: readonly number[], end: number, windowMs: number): number {
  return Math.max(0, firstAt(times, end) - firstAt(times, end - windowMs))
}

function firstAt(times: readonly number[], at: number): number {
  let low = 0
  let high = times.length
  while (low < high) {
    const middle = (low + high) >> 1
    if ((times[middle] ?? 0) < at) low = middle + 1
    else high = middle
  }
  return low
}
