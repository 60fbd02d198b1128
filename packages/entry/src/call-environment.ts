/** What a call needs of the entry that runs it. */
import type { CodeName, ServerId } from '@bilberrystall/base'
import type { Call } from './call'
import type { ClaimGate } from './claim-gate'
import type { ContextCodec } from './context'
import type { Dialect } from './dialect'
import type { Clock, Limits } from './limits'
import type { ServerPool } from './pool'
import type { RouterDriver } from './router-driver'

export interface CallEnvironment {
  readonly clock: Clock
  readonly limits: Limits
  readonly codec: ContextCodec
  readonly dialect: Dialect
  readonly driver: RouterDriver
  readonly claims: ClaimGate | undefined
  readonly pool: (server: ServerId) => ServerPool | undefined
  readonly draining: () => boolean
  /** Whether calls ask servers for their load before they are sent. */
  readonly asksServers: boolean
  /** Path at which the server reports its health. */
  readonly healthPath: (server: ServerId) => string
  /** Another process has the address of the server. */
  readonly misdirected: (server: ServerId) => void
  /** Id by which the process of a server is named in requests. */
  readonly instance: (server: ServerId) => string | undefined
  /** The result of the call is certain. */
  readonly ended: (call: Call, result: CodeName | 'complete') => void
  /** The response was handed to the operating system, or its connection closed. */
  readonly closed: (call: Call) => void
}
