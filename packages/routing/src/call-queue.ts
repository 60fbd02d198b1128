/** Calls that wait for a server, ordered by deadline and then by arrival. All operations take O(log n). */
import type { Call } from './call'

export interface Waiting {
  readonly call: Call
  /** Time in ms at which the call was submitted. */
  readonly since: number
  readonly order: number
  /** Place in the heap, kept by the queue; -1 when the call is not in it. */
  place: number
}

export class CallQueue {
  readonly #heap: Waiting[] = []

  get size(): number {
    return this.#heap.length
  }

  first(): Waiting | undefined {
    return this.#heap[0]
  }

  add(waiting: Waiting): void {
    this.#heap.push(waiting)
    this.#rise(waiting, this.#heap.length - 1)
  }

  remove(waiting: Waiting): void {
    const place = waiting.place
    if (place < 0) return
    waiting.place = -1
    const last = this.#heap.pop()
    if (last === undefined || last === waiting) return
    this.#sink(last, place)
    this.#rise(last, last.place)
  }

  #rise(item: Waiting, start: number): void {
    const heap = this.#heap
    let index = start
    while (index > 0) {
      const above = (index - 1) >> 1
      const parent = heap[above]
      if (parent === undefined || !isBefore(item, parent)) break
      heap[index] = parent
      parent.place = index
      index = above
    }
    heap[index] = item
    item.place = index
  }

  #sink(item: Waiting, start: number): void {
    const heap = this.#heap
    let index = start
    for (;;) {
      let next = 2 * index + 1
      const left = heap[next]
      if (left === undefined) break
      const right = heap[next + 1]
      if (right !== undefined && isBefore(right, left)) next += 1
      const child = right !== undefined && isBefore(right, left) ? right : left
      if (!isBefore(child, item)) break
      heap[index] = child
      child.place = index
      index = next
    }
    heap[index] = item
    item.place = index
  }
}

function isBefore(left: Waiting, right: Waiting): boolean {
  if (left.call.deadline !== right.call.deadline) return left.call.deadline < right.call.deadline
  return left.order < right.order
}
