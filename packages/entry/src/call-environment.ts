/** What a call needs of the entry that runs it. */
import type { CodeName, ServerId } from '@bilberrystall/base'
import type { Call } from './call'
import type { ClaimGate } from './claim-gate'
import type { ContextCodec } from './context'
import type { Clock, Limits } from './limits'
import type { ServerPool } from './pool'
import type { RouterDriver } from './router-driver'

export interface CallEnvironment {
  readonly clock: Clock
  readonly limits: Limits
  readonly codec: ContextCodec
  readonly driver: RouterDriver
  readonly claims: ClaimGate | undefined
  readonly pool: (server: ServerId) => ServerPool | undefined
  readonly draining: () => boolean
  /** The result of the call is certain. */
  readonly ended: (call: Call, result: CodeName | 'complete') => void
  /** The response was handed to the operating system, or its connection closed. */
  readonly closed: () => void
}
