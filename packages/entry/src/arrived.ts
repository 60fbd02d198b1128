/** Waits until this process has read what its operating system has received. Closing earlier would reset it. */
import { Server } from 'node:net'

/** Longest queue of connections that the operating system has accepted for a listener. */
export const LISTEN_BACKLOG = 511

/** Longest turn of the event loop that counts as short: hardly a connection arrives meanwhile. */
const SHORT_TURN_MS = 1
/** Time for which a stop waits for a short turn in a process that is always busy. */
const SHORT_TURN_LIMIT_MS = 100

/** Lets this process accept connections and read requests for one turn of the event loop. */
export function readArrived(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

/**
 * Lets this process accept all connections in the queues of the servers, then closes their listeners but no connection.
 * An HTTP server that is closed ends its idle connections first, and connections that callers open meanwhile would be
 * reset.
 */
export async function stopListening(
  servers: readonly (Server | undefined)[],
  acceptedConnections: () => number,
): Promise<void> {
  await acceptArrived(acceptedConnections)
  for (const server of servers) if (server !== undefined) Server.prototype.close.call(server)
}

/**
 * Lets this process accept all connections in the queues of its listeners. Node.js accepts one of a listener in each
 * turn of the event loop, and none between the call and the first turn if it is called behind the polling of a turn.
 * Behind a long turn, others may have arrived since it polled.
 */
async function acceptArrived(acceptedConnections: () => number): Promise<void> {
  const limit = performance.now() + SHORT_TURN_LIMIT_MS
  for (let turn = 0; turn < LISTEN_BACKLOG; turn += 1) {
    const before = acceptedConnections()
    const startedAt = performance.now()
    await readArrived()
    const endedAt = performance.now()
    const isShort = endedAt - startedAt < SHORT_TURN_MS || endedAt > limit
    if (isShort && acceptedConnections() === before) return
  }
}
