/**
 * Transport of gossip exchanges: one long-lived stream per peer, opened on the first exchange, because a unary call
 * spends most of its CPU time on headers, timeouts and stream setup. Unary calls are the fallback for peers that do not
 * support the stream.
 */
import {
  GossipService,
  type ExchangeRequestSchema,
  type ExchangeResponse,
  type ExchangeResponseSchema,
  type RpcClients,
} from '@bilberrystall/rpc'
import type { MessageInitShape } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'

const EXCHANGE_TIMEOUT_MS = 500

export type ExchangeRequestInit = MessageInitShape<typeof ExchangeRequestSchema>
export type ExchangeResponseInit = MessageInitShape<typeof ExchangeResponseSchema>

export class GossipStreams {
  readonly #clients: RpcClients
  readonly #streams = new Map<string, ExchangeStream>()
  /**
   * Peers that do not support the stream. A peer is removed when a unary call fails, so that the stream is tried again.
   */
  readonly #unaryPeers = new Set<string>()
  #closed = false

  constructor(clients: RpcClients) {
    this.#clients = clients
  }

  /** Rejects if the peer does not respond in time; the stream is then closed and a later response is discarded. */
  async exchange(address: string, request: ExchangeRequestInit): Promise<ExchangeResponse> {
    if (this.#closed) throw new ConnectError('gossip is stopped', Code.Canceled)
    if (!this.#unaryPeers.has(address)) {
      try {
        return await this.#stream(address).exchange(request)
      } catch (cause) {
        if (ConnectError.from(cause).code !== Code.Unimplemented) throw cause
        this.#unaryPeers.add(address)
      }
    }
    return this.#exchangeUnary(address, request)
  }

  close(): void {
    this.#closed = true
    for (const stream of [...this.#streams.values()]) stream.end(new ConnectError('gossip is stopped', Code.Canceled))
  }

  async #exchangeUnary(address: string, request: ExchangeRequestInit): Promise<ExchangeResponse> {
    try {
      return await this.#clients.client(GossipService, address).exchange(request, { timeoutMs: EXCHANGE_TIMEOUT_MS })
    } catch (cause) {
      this.#unaryPeers.delete(address)
      throw cause
    }
  }

  #stream(address: string): ExchangeStream {
    const known = this.#streams.get(address)
    if (known !== undefined) return known
    const stream = new ExchangeStream((cause) => {
      if (this.#streams.get(address) === stream) this.#streams.delete(address)
      if (ConnectError.from(cause).code === Code.DeadlineExceeded) this.#clients.checkSession(address)
    })
    this.#streams.set(address, stream)
    const client = this.#clients.client(GossipService, address)
    // A timeout of 0 disables it: the stream stays open as long as both processes run.
    void stream.read(client.converse(stream.requests(), { timeoutMs: 0, signal: stream.signal }))
    return stream
  }
}

interface PendingExchange {
  readonly resolve: (response: ExchangeResponse) => void
  readonly reject: (cause: unknown) => void
  readonly timer: NodeJS.Timeout
}

class ExchangeStream {
  readonly #onEnd: (cause: unknown) => void
  readonly #abort = new AbortController()
  readonly #outgoing: ExchangeRequestInit[] = []
  /** Exchanges without a response, in the order in which they were sent. */
  readonly #pending: PendingExchange[] = []
  #wake: (() => void) | undefined

  constructor(onEnd: (cause: unknown) => void) {
    this.#onEnd = onEnd
  }

  get signal(): AbortSignal {
    return this.#abort.signal
  }

  exchange(request: ExchangeRequestInit): Promise<ExchangeResponse> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.end(new ConnectError('no response in time', Code.DeadlineExceeded))
      }, EXCHANGE_TIMEOUT_MS)
      this.#pending.push({ resolve, reject, timer })
      this.#outgoing.push(request)
      this.#wake?.()
    })
  }

  async *requests(): AsyncGenerator<ExchangeRequestInit> {
    while (!this.#abort.signal.aborted) {
      const request = this.#outgoing.shift()
      if (request !== undefined) {
        yield request
        continue
      }
      await new Promise<void>((resolve) => {
        this.#wake = resolve
      })
    }
  }

  async read(responses: AsyncIterable<ExchangeResponse>): Promise<void> {
    try {
      for await (const response of responses) {
        const pending = this.#pending.shift()
        clearTimeout(pending?.timer)
        pending?.resolve(response)
      }
      this.end(new ConnectError('stream closed by peer', Code.Unavailable))
    } catch (cause) {
      this.end(cause)
    }
  }

  end(cause: unknown): void {
    if (this.#abort.signal.aborted) return
    this.#onEnd(cause)
    this.#abort.abort()
    this.#wake?.()
    for (const { reject, timer } of this.#pending.splice(0)) {
      clearTimeout(timer)
      reject(cause)
    }
  }
}
