/** Binary heap of the calls that wait for a server, ordered by rank, deadline and arrival; O(log n). */
import type { Call } from './call'

export interface QueuedCall {
  readonly call: Call
  /** Time in ms at which the call was queued. */
  readonly queuedAt: number
  readonly arrivalOrder: number
  /** Index in the heap, maintained by the queue; -1 when the call is not queued. */
  heapIndex: number
}

export class CallQueue {
  readonly #heap: QueuedCall[] = []

  get size(): number {
    return this.#heap.length
  }

  first(): QueuedCall | undefined {
    return this.#heap[0]
  }

  add(queuedCall: QueuedCall): void {
    this.#heap.push(queuedCall)
    this.#siftUp(queuedCall, this.#heap.length - 1)
  }

  remove(queuedCall: QueuedCall): void {
    const heapIndex = queuedCall.heapIndex
    if (heapIndex < 0) return
    queuedCall.heapIndex = -1
    const last = this.#heap.pop()
    if (last === undefined || last === queuedCall) return
    this.#siftDown(last, heapIndex)
    this.#siftUp(last, last.heapIndex)
  }

  #siftUp(item: QueuedCall, start: number): void {
    const heap = this.#heap
    let index = start
    while (index > 0) {
      const parentIndex = (index - 1) >> 1
      const parent = heap[parentIndex]
      if (parent === undefined || !isBefore(item, parent)) break
      heap[index] = parent
      parent.heapIndex = index
      index = parentIndex
    }
    heap[index] = item
    item.heapIndex = index
  }

  #siftDown(item: QueuedCall, start: number): void {
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
      child.heapIndex = index
      index = next
    }
    heap[index] = item
    item.heapIndex = index
  }
}

function isBefore(left: QueuedCall, right: QueuedCall): boolean {
  const leftRank = left.call.rank ?? 0
  const rightRank = right.call.rank ?? 0
  if (leftRank !== rightRank) return leftRank < rightRank
  if (left.call.deadline !== right.call.deadline) return left.call.deadline < right.call.deadline
  return left.arrivalOrder < right.arrivalOrder
}
