/**
 * Simulated server as the router sees it: slots, a FIFO queue, a speed that can change at any time, load reports that
 * can be delayed or wrong, cancellation, and shedding of calls whose queue limit is exceeded.
 */
import type { Load } from '@bilberrystall/routing'
import type { EventQueue, Timer } from './event-queue'
import { SLOTS } from './workload'

export interface Job {
  remainingServiceTime: number
  /** Called when the job ends, with `false` if the server failed it. */
  readonly onDone: (isSuccessful: boolean) => void
  timer?: Timer | undefined
}

/** Service time of a call that a fail-fast server answers with an error. */
const FAIL_FAST_SERVICE_TIME_MS = 0.3
/** Interval at which the load is recorded for delayed reports. */
const HISTORY_INTERVAL_MS = 10

export class SimulatedServer {
  isFailingFast = false
  hasCrashed = false
  alwaysReportsIdle = false
  /** Age in ms of the load in load reports. */
  reportAge = 0
  readonly index: number
  readonly domain: number
  readonly #events: EventQueue
  readonly #running = new Set<Job>()
  readonly #queue: Job[] = []
  readonly #history: Load[] = []
  #slowdown = 1
  #progressUpdatedAt = 0

  constructor(index: number, domain: number, events: EventQueue) {
    this.index = index
    this.domain = domain
    this.#events = events
  }

  get freeSlots(): number {
    return this.hasCrashed ? 0 : SLOTS - this.#running.size
  }

  get slowdown(): number {
    return this.#slowdown
  }

  /** Starts or queues a job. Returns false and does not run it if the queue already has `queueLimit` jobs. */
  accept(job: Job, queueLimit: number): boolean {
    if (this.#running.size < SLOTS) {
      this.#start(job)
      return true
    }
    if (this.#queue.length >= queueLimit) return false
    this.#queue.push(job)
    return true
  }

  cancel(job: Job): void {
    if (this.#running.has(job)) {
      this.#remove(job)
      return
    }
    const position = this.#queue.indexOf(job)
    if (position >= 0) this.#queue.splice(position, 1)
  }

  /** Sets the factor by which service times grow, for running and future jobs. */
  setSlowdown(slowdown: number): void {
    const elapsed = (this.#events.now - this.#progressUpdatedAt) / this.#slowdown
    for (const job of this.#running) job.remainingServiceTime -= elapsed
    this.#slowdown = slowdown
    this.#progressUpdatedAt = this.#events.now
    for (const job of this.#running) this.#schedule(job)
  }

  /** Stops the server without notice: its jobs are dropped and it no longer responds. */
  crash(): void {
    this.hasCrashed = true
    for (const job of this.#running) if (job.timer !== undefined) job.timer.run = undefined
    this.#running.clear()
    this.#queue.length = 0
  }

  /** Records the current load for delayed reports. */
  recordLoad(): void {
    this.#history.push(this.#load())
  }

  static get historyInterval(): number {
    return HISTORY_INTERVAL_MS
  }

  report(): Load {
    if (this.alwaysReportsIdle) return { inflight: 0, slots: SLOTS, queue: 0 }
    if (this.reportAge === 0) return this.#load()
    const delayedLoad = this.#history[this.#history.length - 1 - Math.round(this.reportAge / HISTORY_INTERVAL_MS)]
    return delayedLoad ?? { inflight: 0, slots: SLOTS, queue: 0 }
  }

  #load(): Load {
    return { inflight: this.#running.size, slots: SLOTS, queue: this.#queue.length }
  }

  #start(job: Job): void {
    if (this.isFailingFast) job.remainingServiceTime = FAIL_FAST_SERVICE_TIME_MS
    // Remaining service times are relative to the last change of speed.
    job.remainingServiceTime += (this.#events.now - this.#progressUpdatedAt) / this.#slowdown
    this.#running.add(job)
    this.#schedule(job)
  }

  #schedule(job: Job): void {
    if (job.timer !== undefined) job.timer.run = undefined
    const end = this.#progressUpdatedAt + job.remainingServiceTime * this.#slowdown
    job.timer = this.#events.at(end, () => {
      this.#remove(job)
      job.onDone(!this.isFailingFast)
    })
  }

  #remove(job: Job): void {
    this.#running.delete(job)
    if (job.timer !== undefined) job.timer.run = undefined
    const next = this.#queue.shift()
    if (next !== undefined) this.#start(next)
  }
}
