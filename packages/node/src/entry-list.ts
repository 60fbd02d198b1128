/** The entries of one environment: those that are live, and those that may be sending calls or did so a moment ago. */
import type { Environment, NodeId } from '@bilberrystall/base'
import { KnownEntries, type DirectoryChange, type Node } from '@bilberrystall/membership'
import type { NodeContext } from './node-context'

export type EntryListContext = Pick<NodeContext, 'self' | 'now'> & {
  readonly directory: Pick<NodeContext['directory'], 'nodes'>
}

export interface EntryListOptions {
  /** Window in ms of the bounds that all entries share, default 0. */
  readonly windowMs?: number | undefined
}

export class EntryList {
  readonly #context: EntryListContext
  readonly #environment: Environment
  readonly #known: KnownEntries
  readonly #recent: KnownEntries
  /** Undefined after a change of the known nodes. */
  #live: readonly NodeId[] | undefined

  constructor(context: EntryListContext, environment: Environment, { windowMs = 0 }: EntryListOptions = {}) {
    this.#context = context
    this.#environment = environment
    const own = { self: context.self, startedAt: context.now() }
    this.#known = new KnownEntries(own)
    // In its first window this process does not know what its predecessor sent, so it counts no entry, nor itself.
    this.#recent = new KnownEntries({ ...own, settleMs: windowMs, leftRetentionMs: windowMs })
    for (const node of context.directory.nodes.values()) this.#see(node)
  }

  /** Sorted ids of the live entries that reach servers, including this one. Collected again only after nodes changed. */
  live(): readonly NodeId[] {
    this.#live ??= this.#collectLive()
    return this.#live
  }

  /** Sorted ids of the entries that may be sending calls, including this one; the same array while nothing changed. */
  known(): readonly string[] {
    return this.#known.list(this.#context.now())
  }

  /**
   * Sorted ids of the entries that may be sending calls or sent some in the last window, including this one; the same
   * array while nothing changed. Empty in the first window of this process.
   */
  recent(): readonly string[] {
    return this.#recent.list(this.#context.now())
  }

  nodeChanged({ kind, node }: Extract<DirectoryChange, { kind: 'node-changed' | 'node-lost' }>): void {
    this.#live = undefined
    if (kind === 'node-changed') this.#see(node)
    else
      for (const entries of [this.#known, this.#recent])
        entries.lost(node.node, node.state === 'leaving', this.#context.now())
  }

  #collectLive(): readonly NodeId[] {
    const { self, directory } = this.#context
    const others = [...directory.nodes.values()].filter(
      (node) => node.node !== self && this.#isEntry(node) && node.cutOff !== true,
    )
    return [self, ...others.map(({ node }) => node)].sort()
  }

  #see(node: Node): void {
    if (!this.#isEntry(node)) return
    this.#known.seen(node.node)
    this.#recent.seen(node.node)
  }

  #isEntry({ roles, environment }: Node): boolean {
    return roles.includes('entry') && environment === this.#environment
  }
}
