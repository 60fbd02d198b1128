/**
 * Reloads the settings of a running process on SIGHUP and when the settings file has changed. An invalid file is
 * reported and the current settings stay in use.
 */
import { statSync } from 'node:fs'
import type { Failure } from '@bilberrystall/base'
import { readSettings, type Settings } from '@bilberrystall/node'

/** Polling interval for the modification time. Changes that are urgent can be announced with SIGHUP. */
const POLL_INTERVAL_MS = 2_000

export interface SettingsWatcherOptions {
  readonly file: string
  readonly onChange: (settings: Settings) => void
  readonly onInvalid: (cause: Failure) => void
}

export class SettingsWatcher {
  readonly #options: SettingsWatcherOptions
  #timer: NodeJS.Timeout | undefined
  #modifiedAt: number
  #isStopped = false

  constructor(options: SettingsWatcherOptions) {
    this.#options = options
    this.#modifiedAt = this.#readModifiedAt()
  }

  start(): void {
    process.on('SIGHUP', this.#reload)
    this.#timer = setInterval(() => {
      if (this.#readModifiedAt() !== this.#modifiedAt) this.#reload()
    }, POLL_INTERVAL_MS)
  }

  /**
   * Stops reloading. SIGHUP is still handled, because by default it would terminate the process during its shutdown.
   */
  stop(): void {
    clearInterval(this.#timer)
    this.#isStopped = true
  }

  readonly #reload = (): void => {
    if (this.#isStopped) return
    const { file, onChange, onInvalid } = this.#options
    this.#modifiedAt = this.#readModifiedAt()
    readSettings(file).match(onChange, onInvalid)
  }

  /** Modification time in ms, or 0 if the file does not exist, for example while it is being replaced. */
  #readModifiedAt(): number {
    return statSync(this.#options.file, { throwIfNoEntry: false })?.mtimeMs ?? 0
  }
}
