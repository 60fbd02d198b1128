/**
 * Items in reusable slots. A `Map` with frequent additions and removals replaces its table often; a replaced table that
 * has reached the old generation keeps the items it held and the next table alive until the next full collection, so
 * every call survived the cheap collections. An array that is reused does not.
 */

/** Slots of one list; a number above it in an id counts how often the slot was used. */
const SLOT_RANGE = 2 ** 20

export class Slots<Item> {
  readonly #items: (Item | undefined)[] = []
  readonly #ids: number[] = []
  readonly #free: number[] = []

  /** Returns an id that is never used again. */
  add(item: Item): number {
    const slot = this.#free.pop() ?? this.#items.length
    const id = (this.#ids[slot] ?? slot) + SLOT_RANGE
    this.#items[slot] = item
    this.#ids[slot] = id
    return id
  }

  get(id: number): Item | undefined {
    const slot = id % SLOT_RANGE
    return this.#ids[slot] === id ? this.#items[slot] : undefined
  }

  remove(id: number): void {
    const slot = id % SLOT_RANGE
    if (this.#ids[slot] !== id || this.#items[slot] === undefined) return
    this.#items[slot] = undefined
    this.#free.push(slot)
  }
}
