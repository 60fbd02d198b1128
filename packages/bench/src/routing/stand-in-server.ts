/**
 * Stand-in for a server at the router's interface: slots, a FIFO queue, a speed that may change at any moment, load
 * reports that may lag or mislead, cancellation, and shedding of calls whose queue limit is exceeded.
 */
import type { Load } from '@bilberrystall/routing'
import type { EventQueue, Timer } from './event-queue'
import { SLOTS } from './workload'

export interface Job {
  remaining: number
  /** Called when the job ends: `false` when the server fails it. */
  readonly done: (isOk: boolean) => void
  timer?: Timer | undefined
}

/** Slot time in ms of an answer that fails at once. */
const FAIL_FAST_WORK = 0.3
const HISTORY_STEP = 10

export class StandInServer {
  isFailing = false
  isDead = false
  reportsIdle = false
  /** Age in ms of the state in load reports. */
  reportAge = 0
  readonly index: number
  readonly domain: number
  readonly #events: EventQueue
  readonly #running = new Set<Job>()
  readonly #queue: Job[] = []
  readonly #history: Load[] = []
  #slowness = 1
  #progressAt = 0

  constructor(index: number, domain: number, events: EventQueue) {
    this.index = index
    this.domain = domain
    this.#events = events
  }

  get freeSlots(): number {
    return this.isDead ? 0 : SLOTS - this.#running.size
  }

  get slowness(): number {
    return this.#slowness
  }

  /** Accepts a job; false when its queue would be longer than the limit, so that the job does not run. */
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
      this.#release(job)
      return
    }
    const place = this.#queue.indexOf(job)
    if (place >= 0) this.#queue.splice(place, 1)
  }

  /** Changes the speed of running and future jobs. */
  setSlowness(slowness: number): void {
    const elapsed = (this.#events.now - this.#progressAt) / this.#slowness
    for (const job of this.#running) job.remaining -= elapsed
    this.#slowness = slowness
    this.#progressAt = this.#events.now
    for (const job of this.#running) this.#schedule(job)
  }

  /** Stops without a word: jobs disappear and nothing answers. */
  die(): void {
    this.isDead = true
    for (const job of this.#running) if (job.timer !== undefined) job.timer.run = undefined
    this.#running.clear()
    this.#queue.length = 0
  }

  /** Samples the state for reports that lag. */
  recordHistory(): void {
    this.#history.push(this.#load())
  }

  static get historyStep(): number {
    return HISTORY_STEP
  }

  report(): Load {
    if (this.reportsIdle) return { inflight: 0, slots: SLOTS, queue: 0 }
    if (this.reportAge === 0) return this.#load()
    const past = this.#history[this.#history.length - 1 - Math.round(this.reportAge / HISTORY_STEP)]
    return past ?? { inflight: 0, slots: SLOTS, queue: 0 }
  }

  #load(): Load {
    return { inflight: this.#running.size, slots: SLOTS, queue: this.#queue.length }
  }

  #start(job: Job): void {
    if (this.isFailing) job.remaining = FAIL_FAST_WORK
    // Progress of running jobs is kept relative to the last change of speed.
    job.remaining += (this.#events.now - this.#progressAt) / this.#slowness
    this.#running.add(job)
    this.#schedule(job)
  }

  #schedule(job: Job): void {
    if (job.timer !== undefined) job.timer.run = undefined
    const end = this.#progressAt + job.remaining * this.#slowness
    job.timer = this.#events.at(end, () => {
      this.#release(job)
      job.done(!this.isFailing)
    })
  }

  #release(job: Job): void {
    this.#running.delete(job)
    if (job.timer !== undefined) job.timer.run = undefined
    const next = this.#queue.shift()
    if (next !== undefined) this.#start(next)
  }
}
