/** The entries of one environment: those that are live, and those that may be sending calls. */
import type { Environment, NodeId } from '@bilberrystall/base'
import { KnownEntries, type DirectoryChange, type Node } from '@bilberrystall/membership'
import type { NodeContext } from './node-context'

export type EntryListContext = Pick<NodeContext, 'self' | 'now'> & {
  readonly directory: Pick<NodeContext['directory'], 'nodes'>
}

export class EntryList {
  readonly #context: EntryListContext
  readonly #environment: Environment
  readonly #known: KnownEntries
  /** Undefined after a change of the known nodes. */
  #live: readonly NodeId[] | undefined

  constructor(context: EntryListContext, environment: Environment) {
    this.#context = context
    this.#environment = environment
    this.#known = new KnownEntries(context.self, context.now())
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

  nodeChanged({ kind, node }: Extract<DirectoryChange, { kind: 'node-changed' | 'node-lost' }>): void {
    this.#live = undefined
    if (kind === 'node-changed') this.#see(node)
    else this.#known.lost(node.node, node.state === 'leaving', this.#context.now())
  }

  #collectLive(): readonly NodeId[] {
    const { self, directory } = this.#context
    const others = [...directory.nodes.values()].filter(
      (node) => node.node !== self && this.#isEntry(node) && node.cutOff !== true,
    )
    return [self, ...others.map(({ node }) => node)].sort()
  }

  #see(node: Node): void {
    if (this.#isEntry(node)) this.#known.seen(node.node)
  }

  #isEntry({ roles, environment }: Node): boolean {
    return roles.includes('entry') && environment === this.#environment
  }
}
