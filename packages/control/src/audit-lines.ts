/**
 * Queue of text lines, oldest first. Full blocks are compressed: 50,000 audit records then take a quarter of their 18
 * MiB in memory, in snapshots and on the network.
 */
import { deflateSync, inflateSync } from 'node:zlib'

const BLOCK_LINES = 1_000

interface Block {
  readonly count: number
  readonly data: Uint8Array
}

export interface PackedLines {
  /** Number of lines at the start of the first block that are already dropped. */
  readonly hidden: number
  /** Full, compressed blocks. */
  readonly blocks: readonly Block[]
  /** Lines after the last full block. */
  readonly open: readonly string[]
}

export class AuditLines {
  #blocks: Block[] = []
  #open: string[] = []
  #hidden = 0
  #inflated = new WeakMap<Block, readonly string[]>()
  #first: { readonly block: Block; readonly lines: readonly string[] } | undefined

  static restore(packed: PackedLines): AuditLines {
    const lines = new AuditLines()
    lines.#blocks = [...packed.blocks]
    lines.#open = [...packed.open]
    lines.#hidden = packed.hidden
    return lines
  }

  get length(): number {
    return this.#blocks.reduce((sum, block) => sum + block.count, 0) + this.#open.length - this.#hidden
  }

  packed(): PackedLines {
    return { hidden: this.#hidden, blocks: this.#blocks, open: this.#open }
  }

  push(line: string): void {
    this.#open.push(line)
    if (this.#open.length < BLOCK_LINES) return
    this.#blocks.push({ count: BLOCK_LINES, data: deflateSync(this.#open.join('\n')) })
    this.#open = []
  }

  /** Removes and returns the oldest line. */
  shift(): string {
    const [block] = this.#blocks
    if (block === undefined) return this.#open.shift() ?? ''
    if (this.#first?.block !== block) this.#first = { block, lines: inflate(block) }
    const line = this.#first.lines[this.#hidden] ?? ''
    this.#hidden += 1
    if (this.#hidden === block.count) {
      this.#blocks.shift()
      this.#first = undefined
      this.#hidden = 0
    }
    return line
  }

  /** Line at a position, where 0 is the oldest line. */
  at(position: number): string {
    let index = position + this.#hidden
    for (const block of this.#blocks) {
      if (index < block.count) return this.#linesOf(block)[index] ?? ''
      index -= block.count
    }
    return this.#open[index] ?? ''
  }

  *[Symbol.iterator](): Generator<string> {
    let skip = this.#hidden
    for (const block of this.#blocks) {
      yield* inflate(block).slice(skip)
      skip = 0
    }
    yield* this.#open.slice(skip)
  }

  /** Decompressed lines of a block. Reads access the lines in order, so only the last block is cached. */
  #linesOf(block: Block): readonly string[] {
    const known = this.#inflated.get(block)
    if (known !== undefined) return known
    const lines = inflate(block)
    this.#inflated = new WeakMap([[block, lines]])
    return lines
  }
}

function inflate(block: Block): readonly string[] {
  return inflateSync(block.data).toString('utf8').split('\n')
}
