/** Binary heap of the events of a discrete-event simulation. Events with the same time run in insertion order. */
import { requireDefined } from './require-defined'

export interface Timer {
  readonly time: number
  readonly order: number
  run: (() => void) | undefined
}

export class EventQueue {
  now = 0
  readonly #heap: Timer[] = []
  #nextOrder = 0

  at(time: number, run: () => void): Timer {
    const timer: Timer = { time: Math.max(time, this.now), order: this.#nextOrder++, run }
    this.#heap.push(timer)
    this.#siftUp(this.#heap.length - 1)
    return timer
  }

  after(delay: number, run: () => void): Timer {
    return this.at(this.now + delay, run)
  }

  /** Runs the events up to and including the time `end`. */
  runUntil(end: number): void {
    for (let first = this.#heap[0]; first !== undefined && first.time <= end; first = this.#heap[0]) {
      this.#removeFirst()
      this.now = first.time
      first.run?.()
    }
    this.now = end
  }

  #removeFirst(): void {
    const last = this.#heap.pop()
    if (last === undefined || this.#heap.length === 0) return
    this.#heap[0] = last
    this.#siftDown()
  }

  #siftUp(start: number): void {
    const heap = this.#heap
    const item = requireDefined(heap[start])
    let index = start
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = requireDefined(heap[parentIndex])
      if (!isBefore(item, parent)) break
      heap[index] = parent
      index = parentIndex
    }
    heap[index] = item
  }

  #siftDown(): void {
    const heap = this.#heap
    const item = requireDefined(heap[0])
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= heap.length) break
      if (child + 1 < heap.length && isBefore(requireDefined(heap[child + 1]), requireDefined(heap[child]))) child += 1
      const smallerChild = requireDefined(heap[child])
      if (!isBefore(smallerChild, item)) break
      heap[index] = smallerChild
      index = child
    }
    heap[index] = item
  }
}

function isBefore(left: Timer, right: Timer): boolean {
  return left.time < right.time || (left.time === right.time && left.order < right.order)
}
