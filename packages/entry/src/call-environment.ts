/** Dependencies of a call that the entry provides. */
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
  /** Whether calls query servers for their load before they are sent. */
  readonly asksServers: boolean
  /** Returns the path of the health endpoint of a server. */
  readonly healthPath: (server: ServerId) => string
  /** Reports that another process has the address of the server. */
  readonly misdirected: (server: ServerId) => void
  /** Returns the id of the server process, sent in the instance header of requests. */
  readonly instance: (server: ServerId) => string | undefined
  /** Reports that the result of a call is final. */
  readonly ended: (call: Call, result: CodeName | 'complete') => void
  /** Reports that the response was handed to the operating system or its connection was closed. */
  readonly closed: (call: Call) => void
}
