/** Event queue as a binary heap, ordered by time and then by insertion. */
interface Event {
  readonly time: number
  readonly order: number
  readonly run: () => void
}

export class EventQueue {
  readonly #heap: Event[] = []
  #next = 0

  push(time: number, run: () => void): void {
    const heap = this.#heap
    const event = { time, order: this.#next, run }
    this.#next += 1
    let hole = heap.length
    heap.push(event)
    while (hole > 0) {
      const parent = (hole - 1) >> 1
      const above = heap[parent]
      if (above === undefined || isBefore(above, event)) break
      heap[hole] = above
      hole = parent
    }
    heap[hole] = event
  }

  /** Removes and returns the first event that is due at or before `time`. */
  popBefore(time: number): Event | undefined {
    const first = this.#heap[0]
    if (first === undefined || first.time > time) return undefined
    const last = this.#heap.pop()
    if (last !== undefined && this.#heap.length > 0) this.#sink(last)
    return first
  }

  #sink(event: Event): void {
    const heap = this.#heap
    let hole = 0
    for (let child = 1; child < heap.length; child = 2 * hole + 1) {
      const left = heap[child]
      const right = heap[child + 1]
      if (left === undefined) break
      const isRight = right !== undefined && isBefore(right, left)
      const below = isRight ? right : left
      if (isBefore(event, below)) break
      heap[hole] = below
      hole = isRight ? child + 1 : child
    }
    heap[hole] = event
  }
}

function isBefore(left: Event, right: Event): boolean {
  return left.time < right.time || (left.time === right.time && left.order < right.order)
}
