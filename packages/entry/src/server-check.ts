/**
 * Tells the end of a server process from other reasons for which a connection breaks: a reset by a server that is full
 * or faulty, a lost response, a network partition. Only a host that refuses connections has no process at the address.
 */
import { connect } from 'node:net'
import type { Address } from './connection'

/**
 * - `ended`: no process listens at the address.
 * - `running`: a process accepts connections.
 * - `unreachable`: there was no answer in time.
 */
export type ServerCheck = 'ended' | 'running' | 'unreachable'

export function checkServer(address: Address, timeoutMs: number): Promise<ServerCheck> {
  return new Promise((resolve) => {
    const socket = connect(address)
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
