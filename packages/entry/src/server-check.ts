/**
 * Tells the end of a server process from other reasons for which a connection breaks: a reset by a server that is full
 * or faulty, a lost response, a network partition. Only a host that refuses connections has no process at the address.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { ServerId } from '@bilberrystall/base'
import { startConnecting, type Address } from './connection'

/**
 * - `ended`: no process listens at the address.
 * - `running`: a process accepts connections and keeps them or resets each of them.
 * - `unreachable`: there was no answer in time.
 */
export type ServerCheck = 'ended' | 'running' | 'unreachable'

/** Checks of servers; calls that a server loses at the same time share one. */
export class ServerChecks {
  readonly #timeoutMs: number
  readonly #running = new Map<ServerId, Promise<ServerCheck>>()

  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs
  }

  check(server: ServerId, address: Address): Promise<ServerCheck> {
    const running = this.#running.get(server)
    if (running !== undefined) return running
    const check = checkServer(address, this.#timeoutMs).finally(() => this.#running.delete(server))
    this.#running.set(server, check)
    return check
  }
}

/** Fraction of the time limit after which a server that closed the first connection is checked again. */
const RECHECK_DELAY_FACTOR = 0.2

/**
 * A process that is killed may lose its connections before its listener, which then still accepts one and resets it. So
 * only a connection that stays open for `timeoutMs` shows that the server runs; after one that is closed, the listener
 * is checked once more. The result takes up to 2.2 times `timeoutMs`.
 */
export async function checkServer(address: Address, timeoutMs: number): Promise<ServerCheck> {
  const first = await tryConnection(address, timeoutMs)
  if (first !== 'closed') return first
  await sleep(timeoutMs * RECHECK_DELAY_FACTOR)
  const second = await tryConnection(address, timeoutMs)
  return second === 'closed' ? 'running' : second
}

function tryConnection(address: Address, timeoutMs: number): Promise<ServerCheck | 'closed'> {
  const started = startConnecting(address)
  if (started.isErr()) return Promise.resolve('unreachable')
  const socket = started.value
  return new Promise((resolve) => {
    let isAccepted = false
    const finish = (result: ServerCheck | 'closed') => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => {
      // After a long turn of the event loop, timers run before an answer that has arrived is read.
      setImmediate(() => {
        finish(isAccepted ? 'running' : 'unreachable')
      })
    }, timeoutMs)
    socket.once('connect', () => {
      isAccepted = true
    })
    socket.once('end', () => {
      finish('closed')
    })
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      if (code === 'ECONNREFUSED') finish('ended')
      else finish(isAccepted || code === 'ECONNRESET' ? 'closed' : 'unreachable')
    })
    // The end of a connection is noticed only while it is read.
    socket.resume()
  })
}
