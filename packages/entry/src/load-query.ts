/**
 * Queries servers for their load on behalf of one call. Each query reserves a pooled connection for the call: a
 * connection that has just answered is known to work, to reach the right process and to hold no stray bytes.
 */
import type { CallId } from '@bilberrystall/routing'
import type { ServerId } from '@bilberrystall/base'
import { attemptFields } from './ids-of-attempts'
import type { CallDependencies } from './call-dependencies'
import type { Connection } from './connection'
import { Exchange, MAX_UNUSED_BODY_BYTES } from './exchange'
import { isUnnamedRefusal } from './head'
import type { ConnectionPool } from './connection-pool'

/** Timeout of a load query. A connection that times out is destroyed. */
const LOAD_QUERY_TIMEOUT_MS = 300

interface ReservedConnection {
  readonly pool: ConnectionPool
  readonly connection: Connection
}

export class LoadQuery {
  readonly #dependencies: CallDependencies
  readonly #call: CallId
  readonly #reserved = new Map<ServerId, ReservedConnection>()
  #closed = false

  constructor(call: CallId, dependencies: CallDependencies) {
    this.#call = call
    this.#dependencies = dependencies
  }

  query(server: ServerId): void {
    const pool = this.#dependencies.pool(server)
    if (pool === undefined) {
      this.#reportRefused(server)
      return
    }
    // A query may be sent again, so it may use a connection that has been idle; the answer shows that it works.
    pool.acquire({ recentOnly: false }, (result) => {
      if (result.isErr()) this.#reportUnanswered(server)
      else if (this.#closed || !this.#dependencies.driver.accepts(server)) {
        pool.release(result.value)
        this.#reportRefused(server)
      } else this.#send(server, pool, result.value)
    })
  }

  /** Takes the reserved connection on which the server answered, for the call itself. */
  take(server: ServerId): Connection | undefined {
    const reserved = this.#reserved.get(server)
    this.#reserved.delete(server)
    if (reserved?.connection.isReusable === true) return reserved.connection
    reserved?.pool.release(reserved.connection)
    return undefined
  }

  /** Returns reserved connections to their pools; queries in progress run to their end. */
  close(): void {
    this.#closed = true
    for (const { pool, connection } of this.#reserved.values()) pool.release(connection)
    this.#reserved.clear()
  }

  #send(server: ServerId, pool: ConnectionPool, connection: Connection): void {
    const { attemptIds, clock, dialect, healthPath, instance, reachability } = this.#dependencies
    const timer = setTimeout(() => {
      exchange.cancel()
      this.#reportUnanswered(server)
    }, LOAD_QUERY_TIMEOUT_MS)
    const exchange = new Exchange(
      connection,
      {
        head: () => {
          pool.onProgress(connection)
          reachability.responded(connection.openedAt)
        },
        data: () => true,
        ended: () => {
          clearTimeout(timer)
          this.#onEnded(server, pool, exchange)
        },
        failed: () => {
          clearTimeout(timer)
          this.#reportUnanswered(server)
        },
      },
      clock.monotonic,
      dialect,
    )
    const instanceId = instance(server)
    const attemptId = attemptIds.next()
    const fields = [...attemptFields(attemptId, dialect)]
    if (dialect.instanceHeader !== undefined && instanceId !== undefined)
      fields.push(dialect.instanceHeader, instanceId)
    exchange.start({
      method: 'GET',
      target: dialect.probePath ?? healthPath(server),
      fields,
      attemptId,
      body: undefined,
      maxResponseBytes: MAX_UNUSED_BODY_BYTES,
    })
  }

  #onEnded(server: ServerId, pool: ConnectionPool, { head, connection }: Exchange): void {
    const { driver, instance, onMisdirected } = this.#dependencies
    const isOtherProcess = head?.instance !== undefined && head.instance !== instance(server)
    if (isOtherProcess) onMisdirected(server)
    else if (head !== undefined) driver.responded(server, head)
    if (isOtherProcess || head?.notRun === true) {
      if (isUnnamedRefusal(head)) connection.destroy()
      else pool.release(connection)
      this.#reportRefused(server)
      return
    }
    if (this.#closed || !connection.isReusable) pool.release(connection)
    else this.#reserved.set(server, { pool, connection })
    const load = head?.load
    driver.answered(this.#call, server, load === undefined ? { kind: 'no-load' } : { kind: 'load', load })
  }

  #reportUnanswered(server: ServerId): void {
    this.#dependencies.reachability.failed(server)
    this.#reportRefused(server)
  }

  #reportRefused(server: ServerId): void {
    this.#dependencies.driver.answered(this.#call, server, { kind: 'refused' })
  }
}
