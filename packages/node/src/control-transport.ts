/**
 * Transport of consensus messages: one stream per receiving replica, opened on the first message. Consensus tolerates
 * message loss, so a full queue drops its oldest message and a broken stream drops its queue.
 */
import { performance } from 'node:perf_hooks'
import type { ConnectRouter } from '@connectrpc/connect'
import { nodeId, type NodeId, type ReplicaId } from '@bilberrystall/base'
import type { Message } from '@bilberrystall/consensus'
import { ConsensusService, type ReplicaMessage, type RpcClients } from '@bilberrystall/rpc'
import { decodeMessage, encodeMessage, type StreamIds } from './control-wire'

const MAX_QUEUED_MESSAGES = 256
/**
 * Interval at which the RPC session of an active stream is checked: well below the time after which a replica is
 * replaced, and infrequent compared to heartbeats.
 */
const SESSION_CHECK_INTERVAL_MS = 1_000
/** Delay before a broken stream is reopened; shorter than two heartbeat intervals. */
const REOPEN_DELAY_MS = 150

export interface TransportOptions {
  readonly clients: RpcClients
  /** RPC address of a node. */
  readonly addressOf: (node: NodeId) => string | undefined
}

/** Passes the messages of other replicas to `receive`. */
export function consensusRoutes(router: ConnectRouter, receive: (message: Message) => void): void {
  router.service(ConsensusService, {
    deliver: async (requests) => {
      const ids: StreamIds = { from: '', to: '' }
      for await (const request of requests) {
        const message = decodeMessage(request, ids)
        if (message !== undefined) receive(message)
      }
      return {}
    },
  })
}

export function nodeIdOf(replica: ReplicaId): NodeId {
  return nodeId(replica.slice(0, replica.lastIndexOf('/')))
}

export class ReplicaTransport {
  readonly #options: TransportOptions
  readonly #streams = new Map<ReplicaId, OutgoingStream>()
  readonly #addresses = new Map<NodeId, string>()
  readonly #reopenAt = new Map<ReplicaId, number>()
  /** Monotonic time of the last session check by address. Checks are needed because lost messages cause no error. */
  readonly #sessionCheckedAt = new Map<string, number>()
  #stopped = false

  constructor(options: TransportOptions) {
    this.#options = options
  }

  send(message: Message): void {
    if (this.#stopped) return
    const address = this.addressOf(nodeIdOf(message.to))
    if (address === undefined) return
    let stream = this.#streams.get(message.to)
    if (stream !== undefined && stream.address !== address) {
      stream.close()
      stream = undefined
    }
    stream ??= this.#open(message.to, address)
    stream?.push(message)
    this.#checkSession(address)
  }

  stop(): void {
    this.#stopped = true
    for (const stream of this.#streams.values()) stream.close()
    this.#streams.clear()
  }

  #checkSession(address: string): void {
    const now = performance.now()
    if (now - (this.#sessionCheckedAt.get(address) ?? Number.NEGATIVE_INFINITY) < SESSION_CHECK_INTERVAL_MS) return
    this.#sessionCheckedAt.set(address, now)
    this.#options.clients.checkSession(address)
  }

  /** Falls back to the last known address, because a replica whose node lease expired may still respond. */
  addressOf(node: NodeId): string | undefined {
    const address = this.#options.addressOf(node) ?? this.#addresses.get(node)
    if (address !== undefined) this.#addresses.set(node, address)
    return address
  }

  #open(replica: ReplicaId, address: string): OutgoingStream | undefined {
    if (performance.now() < (this.#reopenAt.get(replica) ?? 0)) return undefined
    const stream = new OutgoingStream(address)
    this.#streams.set(replica, stream)
    const client = this.#options.clients.client(ConsensusService, address)
    const ended = () => {
      stream.close()
      if (this.#streams.get(replica) !== stream) return
      this.#streams.delete(replica)
      this.#reopenAt.set(replica, performance.now() + REOPEN_DELAY_MS)
    }
    // A timeout of 0 disables it: the stream stays open as long as both processes run.
    client.deliver(stream.messages(), { timeoutMs: 0, signal: stream.signal }).then(ended, ended)
    return stream
  }
}

class OutgoingStream {
  readonly address: string
  readonly #ids: StreamIds = { from: '', to: '' }
  readonly #abort = new AbortController()
  #queue: Message[] = []
  #wake: (() => void) | undefined

  constructor(address: string) {
    this.address = address
  }

  get signal(): AbortSignal {
    return this.#abort.signal
  }

  push(message: Message): void {
    if (this.#queue.length >= MAX_QUEUED_MESSAGES) this.#queue.shift()
    this.#queue.push(message)
    this.#wake?.()
  }

  close(): void {
    this.#abort.abort()
    this.#queue = []
    this.#wake?.()
  }

  async *messages(): AsyncGenerator<ReplicaMessage> {
    while (!this.#abort.signal.aborted) {
      const message = this.#queue.shift()
      if (message !== undefined) {
        yield encodeMessage(message, this.#ids)
        continue
      }
      await new Promise<void>((resolve) => {
        this.#wake = resolve
      })
    }
  }
}
