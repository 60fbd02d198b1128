/**
 * Keeps the replica of a node open. A replica that cannot be opened, or that fails later, must not end a node that
 * serves callers: the node continues without it, like a node without a disk, and opens it again where that can help.
 * The log of a replica that is damaged is set aside and the node continues as a new replica with an empty disk, which
 * the leader adds to the replica set like any other. The former replica never returns, so its votes stay valid.
 */
import { err, ok, type Result } from 'neverthrow'
import type { CodeName, Failure } from '@bilberrystall/base'
import type { ControlRole } from './control-role'
import type { Log } from './log'

/** Room is expected to return at any moment. */
const FULL_DISK_RETRY_MS = 200
const RETRY_MS = 1_000
const RETRIED_CODES: ReadonlySet<CodeName> = new Set(['syncFailed', 'folderUnusable', 'replicaFailed'])

export interface ControlSupervisorOptions {
  /** `onFailed` is called when the opened replica fails later. */
  readonly open: (onFailed: (cause: Failure) => void) => Promise<Result<ControlRole, Failure>>
  /** Sets the log aside and returns the new names of its files. */
  readonly setAside: () => Promise<Result<readonly string[], Failure>>
  /** Whether the node does other work, for which it continues without its replica. */
  readonly servesCallers: boolean
  readonly log: Log
  /** Called when a replica has been opened after the start of the node. */
  readonly onOpened: (control: ControlRole) => Promise<void>
  /** Called when the replica has failed, before it is stopped. */
  readonly onClosed: () => Promise<void>
  /** Called on a failure for which the process must end. */
  readonly onFatal: (cause: Failure) => void
}

export class ControlSupervisor {
  readonly #options: ControlSupervisorOptions
  #control: ControlRole | undefined
  #reported: CodeName | undefined
  #timer: NodeJS.Timeout | undefined
  #work: Promise<void> | undefined
  #isStopped = false

  constructor(options: ControlSupervisorOptions) {
    this.#options = options
  }

  /** Undefined while the replica is not open. */
  get control(): ControlRole | undefined {
    return this.#control
  }

  /** Whether the disk was full at the last attempt. */
  get waitsForRoom(): boolean {
    return this.#reported === 'diskFull'
  }

  /** Opens the replica for the first time. Errors: those of `ControlRole.open` for which the node must not start. */
  async open(): Promise<Result<void, Failure>> {
    const opened = await this.#tryOpen()
    if (opened.isOk()) {
      this.#control = opened.value
      return ok()
    }
    return this.#continuesAfter(opened.error) ? ok() : err(opened.error)
  }

  /** Resolves when no attempt runs and none will follow. */
  async stop(): Promise<void> {
    this.#isStopped = true
    clearTimeout(this.#timer)
    await this.#work
  }

  async #tryOpen(): Promise<Result<ControlRole, Failure>> {
    const { open, setAside, log } = this.#options
    const onFailed = (cause: Failure): void => {
      this.#replicaFailed(cause)
    }
    const opened = await open(onFailed)
    if (opened.isOk() || !isDamage(opened.error)) return opened
    log.error(opened.error.code, { message: opened.error.message })
    const files = await setAside()
    if (files.isErr()) return err({ ...opened.error, message: `${opened.error.message}; ${files.error.message}` })
    log.warn('logSetAside', { files: files.value })
    return open(onFailed)
  }

  #replicaFailed(cause: Failure): void {
    const control = this.#control
    if (control === undefined || this.#isStopped) return
    if (!this.#options.servesCallers) {
      this.#options.onFatal(cause)
      return
    }
    this.#control = undefined
    this.#work = this.#closeFailed(control, cause)
  }

  async #closeFailed(control: ControlRole, cause: Failure): Promise<void> {
    await this.#options.onClosed()
    // Closing the files of a disk that fails may fail as well.
    await control.stop().catch(() => undefined)
    this.#continuesAfter(cause)
  }

  /** Returns whether the node continues after the failure, and opens the replica again later if that can help. */
  #continuesAfter(cause: Failure): boolean {
    const { servesCallers, log } = this.#options
    if (cause.code === 'folderInUse' || (!servesCallers && cause.code !== 'diskFull')) return false
    if (cause.code !== this.#reported) log.error(cause.code, { message: cause.message })
    this.#reported = cause.code
    const retryMs = retryDelayMs(cause.code)
    if (retryMs !== undefined && !this.#isStopped) {
      this.#timer = setTimeout(() => {
        this.#work = this.#openAgain()
      }, retryMs)
    }
    return true
  }

  async #openAgain(): Promise<void> {
    const opened = await this.#tryOpen()
    if (opened.isErr()) {
      if (!this.#continuesAfter(opened.error)) this.#options.onFatal(opened.error)
      return
    }
    if (this.#isStopped) {
      await opened.value.stop()
      return
    }
    this.#options.log.info(this.waitsForRoom ? 'diskHasRoom' : 'replicaOpened', {})
    this.#reported = undefined
    this.#control = opened.value
    await this.#options.onOpened(opened.value)
  }
}

function isDamage({ code }: Failure): boolean {
  return code === 'logDamaged' || code === 'snapshotDamaged'
}

/** Undefined if only a restart with another program or other settings can help. */
function retryDelayMs(code: CodeName): number | undefined {
  if (code === 'diskFull') return FULL_DISK_RETRY_MS
  return RETRIED_CODES.has(code) ? RETRY_MS : undefined
}
