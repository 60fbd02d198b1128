/** Waits until this process has read what its operating system has received. Closing earlier would reset it. */

/** Longest queue of connections that the operating system has accepted for a listener. */
export const LISTEN_BACKLOG = 511
/** Turns of the event loop without a new connection after which none is left: one may have begun behind the polling. */
const QUIET_TURNS = 2

/** Lets this process accept connections and read requests for one turn of the event loop. */
export function readArrived(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

/**
 * Lets this process accept all connections in the queues of its listeners. Node.js accepts one of a listener in each
 * turn of the event loop.
 */
export async function acceptArrived(acceptedConnections: () => number): Promise<void> {
  let quietTurns = 0
  for (let turn = 0; turn < LISTEN_BACKLOG && quietTurns < QUIET_TURNS; turn += 1) {
    const before = acceptedConnections()
    await readArrived()
    quietTurns = acceptedConnections() === before ? quietTurns + 1 : 0
  }
}
