/**
 * Writes log lines to a stream that may refuse them, for example a file on a full disk or a closed pipe. Refused lines
 * are counted and dropped: a node must not stop serving because its log cannot be written.
 */

/** Calls `done` with the error of a refused line. */
export type LineWriter = (text: string, done: (cause: Error | null | undefined) => void) => void

export class LogOutput {
  readonly #writeLine: LineWriter
  readonly #onRecovered: (lostLines: number) => void
  #lostLines = 0

  /** `onRecovered` is called when a line was written after others were lost. */
  constructor(writeLine: LineWriter, onRecovered: (lostLines: number) => void) {
    this.#writeLine = writeLine
    this.#onRecovered = onRecovered
  }

  write(text: string): void {
    this.#writeLine(text, (cause) => {
      if (cause) this.#lostLines += 1
      else if (this.#lostLines > 0) this.#reportLostLines()
    })
  }

  #reportLostLines(): void {
    const lostLines = this.#lostLines
    this.#lostLines = 0
    this.#onRecovered(lostLines)
  }
}
