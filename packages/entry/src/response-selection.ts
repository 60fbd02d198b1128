/**
 * Selects the attempt whose response the caller of a call gets: the one whose head came last, until a response is begun.
 * What an attempt received is discarded when another one is selected, and when the attempt fails or is cancelled.
 */
import { AttemptResponse } from './attempt-response'
import type { CallAttempt } from './call-attempt'
import type { CallerResponse } from './caller-response'
import type { ResponseHead } from './head'
import type { ResponseRecording } from './response-recording'

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])

export interface ResponseSelectionOptions {
  readonly caller: CallerResponse
  /** Method of the request. */
  readonly method: string
  readonly record: (head: ResponseHead) => ResponseRecording | undefined
  /** Called before the first byte of the response to an attempt is sent to the caller. */
  readonly committed: (attempt: CallAttempt) => void
}

interface Selected {
  readonly attempt: CallAttempt
  readonly response: AttemptResponse
}

export class ResponseSelection {
  readonly #options: ResponseSelectionOptions
  #selected: Selected | undefined

  constructor(options: ResponseSelectionOptions) {
    this.#options = options
  }

  /** Whether another attempt could still provide the response without replacing one. */
  get isUntouched(): boolean {
    return this.#selected === undefined && !this.#options.caller.hasStarted
  }

  open(attempt: CallAttempt, head: ResponseHead): void {
    const { caller, method, record, committed } = this.#options
    this.#selected?.response.discard()
    const response = new AttemptResponse({
      head,
      hasBody: method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(head.status),
      caller,
      recording: record(head),
      committed: () => {
        committed(attempt)
      },
    })
    this.#selected = { attempt, response }
  }

  /** Returns false if the caller reads more slowly than the server sends; `drained` is called when it can continue. */
  data(attempt: CallAttempt, part: Buffer, drained: () => void): boolean {
    return this.#of(attempt)?.data(part, drained) ?? true
  }

  /** Returns the response to an attempt that has ended, if it is whole. */
  whole(attempt: CallAttempt): AttemptResponse | undefined {
    const response = this.#of(attempt)
    return response?.isWhole === true ? response : undefined
  }

  discard(attempt: CallAttempt): void {
    const response = this.#of(attempt)
    if (response === undefined) return
    response.discard()
    this.#selected = undefined
  }

  #of(attempt: CallAttempt): AttemptResponse | undefined {
    return this.#selected?.attempt === attempt ? this.#selected.response : undefined
  }
}
