/**
 * Queries servers for their load on behalf of one call. Each query reserves a pooled connection for the call: a
 * connection that has just answered is known to work, to reach the right process and to hold no stray bytes.
 */
import type { CallId } from '@bilberrystall/routing'
import type { ServerId } from '@bilberrystall/base'
import type { CallEnvironment } from './call-environment'
import type { Connection } from './connection'
import { Exchange } from './exchange'
import type { ServerPool } from './pool'

/** Timeout of a load query. A connection that times out is destroyed. */
const QUESTION_LIMIT_MS = 300

interface Reserved {
  readonly pool: ServerPool
  readonly connection: Connection
}

export class Inquiry {
  readonly #environment: CallEnvironment
  readonly #call: CallId
  readonly #reserved = new Map<ServerId, Reserved>()
  #closed = false

  constructor(call: CallId, environment: CallEnvironment) {
    this.#call = call
    this.#environment = environment
  }

  ask(server: ServerId): void {
    const pool = this.#environment.pool(server)
    if (pool === undefined) {
      this.#refused(server)
      return
    }
    pool.acquire(true, (result) => {
      if (result.isErr()) this.#refused(server)
      else if (this.#closed) pool.release(result.value)
      else this.#send(server, pool, result.value)
    })
  }

  /** Takes the reserved connection on which the server answered, for the call itself. */
  take(server: ServerId): Connection | undefined {
    const reserved = this.#reserved.get(server)
    this.#reserved.delete(server)
    return reserved?.connection.open === true ? reserved.connection : undefined
  }

  /** Returns reserved connections to their pools; queries in progress run to their end. */
  close(): void {
    this.#closed = true
    for (const { pool, connection } of this.#reserved.values()) pool.release(connection)
    this.#reserved.clear()
  }

  #send(server: ServerId, pool: ServerPool, connection: Connection): void {
    const { clock, dialect, healthPath, instance } = this.#environment
    const timer = setTimeout(() => {
      exchange.cancel()
      this.#refused(server)
    }, QUESTION_LIMIT_MS)
    const exchange = new Exchange(
      connection,
      {
        head: () => {
          pool.progressed(connection)
        },
        data: () => true,
        ended: () => {
          clearTimeout(timer)
          this.#ended(server, pool, exchange)
        },
        failed: () => {
          clearTimeout(timer)
          this.#refused(server)
        },
      },
      clock.monotonic,
      dialect,
    )
    const named = instance(server)
    const fields = dialect.instanceHeader === undefined || named === undefined ? [] : [dialect.instanceHeader, named]
    exchange.start({ method: 'GET', target: dialect.probePath ?? healthPath(server), fields, body: undefined })
  }

  #ended(server: ServerId, pool: ServerPool, { head, connection }: Exchange): void {
    const { driver, instance, misdirected } = this.#environment
    const isOther = head?.instance !== undefined && head.instance !== instance(server)
    if (isOther) misdirected(server)
    if (isOther || head?.notRun === true) {
      pool.release(connection)
      this.#refused(server)
      return
    }
    if (this.#closed) pool.release(connection)
    else this.#reserved.set(server, { pool, connection })
    const load = head?.load
    driver.answered(this.#call, server, load === undefined ? { kind: 'no-load' } : { kind: 'load', load })
  }

  #refused(server: ServerId): void {
    this.#environment.driver.answered(this.#call, server, { kind: 'refused' })
  }
}
