/**
 * Extra copies of responses: a server that stutters sends bytes of a response once more behind the complete response. The
 * copy is whole or cut off at any byte, and arrives in one or more pieces, also when the next request on the connection
 * has arrived. No piece is written within a response: no receiver could tell it from the body.
 */
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { randomInt, type RandomSource } from '@bilberrystall/base'

const HEAD_END = '\r\n\r\n'
const MAX_PIECES = 3

/** Bytes from `from` to `until` of a response, sent `delayMs` after the piece before, or after the response. */
export interface CopyPiece {
  readonly from: number
  readonly until: number
  readonly delayMs: number
}

export interface ExtraCopy {
  /** Whether the first piece waits until the next request on the connection has arrived. */
  readonly waitsForRequest: boolean
  readonly pieces: readonly CopyPiece[]
}

/** Draws whether a copy of `response` is whole or cut within its head or its body, and when its pieces are sent. */
export function drawCopy(random: RandomSource, response: Buffer, maxDelayMs: number): ExtraCopy {
  const length = drawLength(random, response)
  const pieceCount = 1 + randomInt(random, MAX_PIECES)
  const cuts = Array.from({ length: pieceCount - 1 }, () => randomInt(random, length))
  const bounds = [...new Set([0, ...cuts, length])].sort((left, right) => left - right)
  const pieces = bounds.slice(1).map((until, index) => ({
    from: bounds[index] ?? 0,
    until,
    delayMs: randomInt(random, 2) === 0 ? 0 : randomInt(random, maxDelayMs + 1),
  }))
  return { waitsForRequest: randomInt(random, 3) === 0, pieces }
}

function drawLength(random: RandomSource, response: Buffer): number {
  const headLength = response.indexOf(HEAD_END) + HEAD_END.length
  switch (randomInt(random, 3)) {
    case 0:
      return response.length
    case 1:
      return 1 + randomInt(random, headLength - 1)
    default:
      return headLength + randomInt(random, response.length - headLength + 1)
  }
}

type WriteFunction = (data: string | Uint8Array, ...rest: unknown[]) => boolean

/** Connection of a caller to a server that stutters. Its responses are written between `begin` and `end`. */
export class StutteringConnection {
  readonly #socket: Socket
  readonly #onExtraBytes: (requestId: string) => void
  readonly #write: WriteFunction
  /** Bytes of the response in progress; undefined if there is none. */
  #response: Buffer[] | undefined
  /** Pieces that were due within a response. */
  #due: Buffer[] = []
  #requestId: string | undefined
  #endsWithConnection = false
  #onNextRequest: (() => void)[] = []
  #hasExtraBytes = false

  /** `onExtraBytes` is called for each request that is in progress when the connection has carried extra bytes. */
  constructor(socket: Socket, onExtraBytes: (requestId: string) => void) {
    this.#socket = socket
    this.#onExtraBytes = onExtraBytes
    // Node.js calls it with and without an encoding, a callback, or both.
    const write = socket.write.bind(socket) as WriteFunction
    this.#write = write
    socket.write = (data: string | Uint8Array, ...rest: unknown[]): boolean => {
      const bytes = typeof data === 'string' ? Buffer.from(data, toEncoding(rest[0])) : Buffer.from(data)
      this.#response?.push(bytes)
      return write(data, ...rest)
    }
  }

  onRequest(requestId: string | undefined): void {
    this.#requestId = requestId
    if (this.#hasExtraBytes) this.#reportExtraBytes()
    for (const listener of this.#onNextRequest.splice(0)) listener()
  }

  /** `endsWithConnection`: whether whatever follows the response belongs to its body. */
  begin(requestId: string | undefined, endsWithConnection: boolean): void {
    this.#requestId = requestId
    this.#endsWithConnection = endsWithConnection
    this.#response = []
  }

  /** Returns the bytes of the response that was written, and writes the pieces that were due meanwhile. */
  end(): Buffer {
    const response = Buffer.concat(this.#response ?? [])
    this.#response = undefined
    if (!this.#endsWithConnection) this.#requestId = undefined
    for (const piece of this.#due.splice(0)) this.#writeExtra(piece)
    this.#requestId = undefined
    return response
  }

  /** Returns the bytes written so far of the response in progress. */
  get written(): Buffer {
    return Buffer.concat(this.#response ?? [])
  }

  /** Sends the pieces behind a complete response, or within one that ends with its connection. */
  async sendCopy(response: Buffer, { waitsForRequest, pieces }: ExtraCopy): Promise<void> {
    const isWithin = this.#response !== undefined
    if (waitsForRequest && !isWithin) await new Promise<void>((resolve) => this.#onNextRequest.push(resolve))
    for (const { from, until, delayMs } of pieces) {
      if (delayMs > 0) await sleep(delayMs)
      const piece = response.subarray(from, until)
      if (this.#response === undefined || isWithin) this.#writeExtra(piece)
      else this.#due.push(piece)
    }
  }

  #writeExtra(piece: Buffer): void {
    if (this.#socket.destroyed || !this.#socket.writable) return
    this.#hasExtraBytes = true
    this.#reportExtraBytes()
    this.#write(piece)
  }

  #reportExtraBytes(): void {
    if (this.#requestId !== undefined) this.#onExtraBytes(this.#requestId)
  }
}

function toEncoding(value: unknown): BufferEncoding {
  return typeof value === 'string' && Buffer.isEncoding(value) ? value : 'utf8'
}
