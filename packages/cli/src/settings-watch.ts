/**
 * Reads the settings of a running process again when its service manager asks for it with SIGHUP, and when the file has
 * changed without a signal. A file with faults changes nothing.
 */
import { statSync } from 'node:fs'
import type { Failure } from '@bilberrystall/base'
import { readSettings, type Settings } from '@bilberrystall/node'

/** Interval of the look at the file: a change without a signal is no emergency. */
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

  /** Changes are no longer taken over. The signal stays handled: by default it would end a process that shuts down. */
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

  /** 0 while the file cannot be looked at, as between the two steps of a replacement. */
  #lastModified(): number {
    return statSync(this.#options.file, { throwIfNoEntry: false })?.mtimeMs ?? 0
  }
}
