/** One attempt of a call through another entry, which chooses the server and runs its own attempts there. */
import { resultCode, type CodeName, type Failure } from '@bilberrystall/base'
import type { Result } from 'neverthrow'
import type { CallAttempt } from './call-attempt'
import type { CallDependencies } from './call-dependencies'
import type { Connection } from './connection'
import type { AcquireCallback, ConnectionPool } from './connection-pool'
import { Exchange, type ExchangeRequest } from './exchange'
import type { ResponseHead } from './head'
import type { RelayPeer, RelayPeers } from './relay-peers'
import type { RequestBody } from './request-body'

export interface RelayFailure {
  readonly code: CodeName
  readonly peer: RelayPeer
  /** Value of `retry-after`, if the other entry named one. */
  readonly retryAfter: string | undefined
}

export interface RelayAttemptEvents {
  readonly head: (head: ResponseHead) => void
  readonly data: (part: Buffer, drained: () => void) => boolean
  readonly mayEndWithConnection: () => boolean
  readonly ended: (head: ResponseHead) => void
  readonly failed: (failure: RelayFailure) => void
}

export interface RelayAttemptOptions {
  readonly peer: RelayPeer
  readonly peers: RelayPeers
  readonly repeatable: boolean
  readonly dependencies: CallDependencies
  readonly body: RequestBody
  readonly request: () => Omit<ExchangeRequest, 'body'>
  readonly events: RelayAttemptEvents
}

export class RelayAttempt implements CallAttempt {
  readonly silent = false
  readonly unanswered = false
  readonly #options: RelayAttemptOptions
  #pool: ConnectionPool | undefined
  #exchange: Exchange | undefined
  #failureCode: CodeName | undefined
  #isEnded = false

  constructor(options: RelayAttemptOptions) {
    this.#options = options
  }

  get sent(): boolean {
    return this.#exchange?.sent ?? false
  }

  start(): void {
    const { peers, peer, repeatable } = this.#options
    this.#pool = peers.started(peer)
    this.#pool.acquire({ recentOnly: !repeatable }, this.#onAcquired)
  }

  sweep(): void {
    // The other entry watches its connection to the server, and the deadline bounds the wait for the other entry.
  }

  cancel(): void {
    if (!this.#end(false)) return
    this.#pool?.cancelAcquire(this.#onAcquired)
    this.#exchange?.cancel()
  }

  readonly #onAcquired: AcquireCallback = (result: Result<Connection, Failure>) => {
    if (this.#isEnded) {
      if (result.isOk()) this.#pool?.release(result.value)
      return
    }
    if (result.isErr()) this.#fail('connectFailed')
    else this.#send(result.value)
  }

  #send(connection: Connection): void {
    const { dependencies, body, request, events } = this.#options
    const exchange = new Exchange(
      connection,
      {
        head: (head) => {
          this.#onHead(head)
        },
        data: (part) =>
          this.#failureCode !== undefined ||
          events.data(part, () => {
            exchange.resume()
          }),
        ended: () => {
          this.#onExchangeEnded(exchange)
        },
        failed: (sent) => {
          this.#fail(this.#failureCode ?? this.#codeOfBrokenExchange(sent))
        },
      },
      dependencies.clock.monotonic,
      dependencies.dialect,
    )
    this.#exchange = exchange
    exchange.start({ ...request(), body: body.buffered ?? body.stream() })
  }

  #onHead(head: ResponseHead): void {
    const { peers, events } = this.#options
    if (head.relayRevision !== undefined) peers.onRevision(head.relayRevision)
    const result = head.relayResult
    if (result === 'complete') events.head(head)
    // A code without an outcome says that the other entry did not accept the call.
    else if (result !== undefined && resultCode(result).outcome === undefined) this.#failureCode = 'connectFailed'
    else this.#failureCode = result ?? 'connectionLost'
  }

  #onExchangeEnded({ connection, head }: Exchange): void {
    if (this.#options.body.received) this.#pool?.release(connection)
    else connection.destroy()
    if (this.#failureCode !== undefined || head === undefined) {
      this.#fail(this.#failureCode ?? 'connectionLost')
      return
    }
    if (!head.delimited && !this.#options.events.mayEndWithConnection()) this.#fail('responseTruncated')
    else if (this.#end(false)) this.#options.events.ended(head)
  }

  #codeOfBrokenExchange(sent: boolean): CodeName {
    const { failureCode } = this.#options.body
    if (failureCode !== undefined) return failureCode
    if (!sent) return 'connectFailed'
    return this.#exchange?.head === undefined ? 'connectionLost' : 'responseTruncated'
  }

  #fail(code: CodeName): void {
    const { peer, events } = this.#options
    // A failure that the other entry reported says nothing about the way to it.
    if (!this.#end(this.#failureCode === undefined)) return
    events.failed({ code, peer, retryAfter: this.#exchange?.head?.retryAfter })
  }

  #end(hasPeerFailed: boolean): boolean {
    if (this.#isEnded) return false
    this.#isEnded = true
    const { peers, peer } = this.#options
    if (this.#pool !== undefined) peers.ended(peer, hasPeerFailed)
    return true
  }
}
