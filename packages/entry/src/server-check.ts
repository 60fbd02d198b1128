/**
 * Tells the end of a server process from other reasons for which a connection breaks: a reset by a server that is full
 * or faulty, a lost response, a network partition. Only a host that refuses connections has no process at the address.
 */
import type { ServerId } from '@bilberrystall/base'
import { startConnecting, type Address } from './connection'

/**
 * - `ended`: no process listens at the address.
 * - `running`: a process accepts connections.
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

export async function checkServer(address: Address, timeoutMs: number): Promise<ServerCheck> {
  const started = startConnecting(address)
  if (started.isErr()) return 'unreachable'
  const socket = started.value
  return new Promise((resolve) => {
    const finish = (result: ServerCheck) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => {
      finish('unreachable')
    }, timeoutMs)
    socket.once('connect', () => {
      finish('running')
    })
    socket.on('error', (cause: NodeJS.ErrnoException) => {
      finish(cause.code === 'ECONNREFUSED' ? 'ended' : 'unreachable')
    })
  })
}
