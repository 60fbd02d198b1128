/** Writes what was sent, answered and run to `record.txt` in the folder of the case, one line for each event. */
import { appendFileSync, writeFileSync } from 'node:fs'

export class Transcript {
  readonly #file: string
  readonly #startedAt = performance.now()

  constructor(file: string) {
    this.#file = file
    writeFileSync(file, '')
  }

  /** Time since the start of the script in ms. */
  now(): number {
    return performance.now() - this.#startedAt
  }

  write(text: string): void {
    appendFileSync(this.#file, `${(this.now() / 1000).toFixed(3)} ${text}\n`)
  }
}
