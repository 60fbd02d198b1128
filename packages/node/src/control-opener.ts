/**
 * Opens the control role of a node. A full disk refuses the writes of the recovery, which passes: opening is repeated
 * until there is room, and the node serves callers meanwhile. Every other error is final.
 */
import { ok, type Result } from 'neverthrow'
import type { Failure } from '@bilberrystall/base'
import type { ControlRole } from './control-role'

const RETRY_INTERVAL_MS = 200

export interface ControlOpenerOptions {
  readonly open: () => Promise<Result<ControlRole, Failure>>
  /** Called if the first attempt finds the disk full. */
  readonly onFull: (cause: Failure) => void
  /** Called when a later attempt has succeeded. */
  readonly onOpened: (control: ControlRole) => Promise<void>
  /** Called when a later attempt has failed for another reason than a full disk. */
  readonly onFailed: (cause: Failure) => void
}

export class ControlOpener {
  readonly #options: ControlOpenerOptions
  #timer: NodeJS.Timeout | undefined
  #attempt: Promise<void> | undefined
  #isWaiting = false
  #isStopped = false

  constructor(options: ControlOpenerOptions) {
    this.#options = options
  }

  /** Whether the disk was full at the last attempt. */
  get isWaiting(): boolean {
    return this.#isWaiting
  }

  /** Returns undefined if the disk is full. Errors: those of `ControlRole.open` other than `disk-full`. */
  async open(): Promise<Result<ControlRole | undefined, Failure>> {
    const opened = await this.#options.open()
    if (opened.isOk() || opened.error.code !== 'diskFull') return opened
    this.#options.onFull(opened.error)
    this.#isWaiting = true
    this.#schedule()
    return ok(undefined)
  }

  /** Resolves when no attempt runs and none will follow. */
  async stop(): Promise<void> {
    this.#isStopped = true
    clearTimeout(this.#timer)
    await this.#attempt
  }

  #schedule(): void {
    this.#timer = setTimeout(() => {
      this.#attempt = this.#repeat()
    }, RETRY_INTERVAL_MS)
  }

  async #repeat(): Promise<void> {
    const opened = await this.#options.open()
    if (this.#isStopped) {
      if (opened.isOk()) await opened.value.stop()
      return
    }
    if (opened.isErr() && opened.error.code === 'diskFull') {
      this.#schedule()
      return
    }
    this.#isWaiting = false
    if (opened.isOk()) await this.#options.onOpened(opened.value)
    else this.#options.onFailed(opened.error)
  }
}
