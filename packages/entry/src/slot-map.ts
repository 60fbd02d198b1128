/**
 * A slot map: items in reused array slots, addressed by ids that contain a generation counter. A `Map` with frequent
 * insertions and deletions reallocates its table often. A replaced table that was promoted to the old generation of the
 * garbage collector keeps its items and the next table alive until the next full collection, so every call survived
 * minor collections. A reused array avoids this.
 */

/** An id is its slot plus a multiple of this number; the multiple counts how often the slot was used. */
const MAX_SLOTS = 2 ** 20

export class SlotMap<Item> {
  readonly #items: (Item | undefined)[] = []
  readonly #ids: number[] = []
  readonly #free: number[] = []

  /** Adds an item and returns its id, which is never reused. */
  add(item: Item): number {
    const slot = this.#free.pop() ?? this.#items.length
    const id = (this.#ids[slot] ?? slot) + MAX_SLOTS
    this.#items[slot] = item
    this.#ids[slot] = id
    return id
  }

  get(id: number): Item | undefined {
    const slot = id % MAX_SLOTS
    return this.#ids[slot] === id ? this.#items[slot] : undefined
  }

  remove(id: number): void {
    const slot = id % MAX_SLOTS
    if (this.#ids[slot] !== id || this.#items[slot] === undefined) return
    this.#items[slot] = undefined
    this.#free.push(slot)
  }
}
