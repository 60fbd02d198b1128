/** An attempt of a call, at a server of this entry or through another entry. */
import type { CodeName } from '@bilberrystall/base'

export interface CallAttempt {
  /** Whether a byte of the request was written. */
  readonly sent: boolean
  /** Whether the connection is known to be silent while the server works. */
  readonly silent: boolean
  /** Whether the request got no response for so long that its server may have discarded it. */
  readonly unanswered: boolean
  readonly start: () => void
  readonly sweep: (now: number) => void
  /** Ends the attempt without calling an event handler. */
  readonly cancel: (cause: CodeName) => void
}
