/**
 * Reloads the settings of a running process on SIGHUP and when the settings file has changed. An invalid file is
 * reported and the current settings stay in use.
 */
import { statSync } from 'node:fs'
import type { Failure } from '@bilberrystall/base'
import { readSettings, type Settings } from '@bilberrystall/node'

/** Polling interval for the modification time. Changes that are urgent can be announced with SIGHUP. */
const LOOK_INTERVAL_MS = 2_000

export interface SettingsWatchOptions {
  readonly file: string
  readonly changed: (settings: Settings) => void
  readonly refused: (cause: Failure) => void
}

export class SettingsWatch {
  readonly #options: SettingsWatchOptions
  #timer: NodeJS.Timeout | undefined
  #modifiedAt: number
  #isStopped = false

  constructor(options: SettingsWatchOptions) {
    this.#options = options
    this.#modifiedAt = this.#lastModified()
  }

  start(): void {
    process.on('SIGHUP', this.#reload)
    this.#timer = setInterval(() => {
      if (this.#lastModified() !== this.#modifiedAt) this.#reload()
    }, LOOK_INTERVAL_MS)
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
    const { file, changed, refused } = this.#options
    this.#modifiedAt = this.#lastModified()
    readSettings(file).match(changed, refused)
  }

  /** Modification time in ms, or 0 if the file does not exist, for example while it is being replaced. */
  #lastModified(): number {
    return statSync(this.#options.file, { throwIfNoEntry: false })?.mtimeMs ?? 0
  }
}
