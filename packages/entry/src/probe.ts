/** Probes a server with a separate request to a path that every server supports, to measure its latency and load. */
import type { ExchangeOutcome, Load } from '@bilberrystall/routing'
import { attemptFields } from './ids-of-attempts'
import type { Dialect } from './dialect'
import { Exchange, MAX_UNUSED_BODY_BYTES } from './exchange'
import { isUnnamedRefusal, type ResponseHead } from './head'
import type { ConnectionPool } from './connection-pool'

export interface ProbeTarget {
  readonly path: string
  readonly timeoutMs: number
  readonly dialect: Dialect
  /** Id of the request, if the entry gives one. */
  readonly attemptId: string | undefined
  /** Called with the head of the response. */
  readonly onHead: (head: ResponseHead) => void
}

export type ProbeCallback = (outcome: ExchangeOutcome, latency: number, load: Load | undefined) => void

/** Reports the result once, after `timeoutMs` at the latest. A probe that takes longer is cancelled. */
export function probe(pool: ConnectionPool, target: ProbeTarget, now: () => number, onResult: ProbeCallback): void {
  const { path, timeoutMs, dialect, attemptId, onHead } = target
  const startedAt = now()
  let exchange: Exchange | undefined
  let reported = false
  const report = (outcome: ExchangeOutcome) => {
    if (reported) return
    reported = true
    clearTimeout(timer)
    onResult(outcome, now() - startedAt, exchange?.head?.load)
  }
  const timer = setTimeout(() => {
    exchange?.cancel()
    report('timeout')
  }, timeoutMs)
  pool.acquire({ recentOnly: true }, (result) => {
    if (result.isErr()) {
      report('connect-failed')
      return
    }
    const connection = result.value
    if (reported) {
      pool.release(connection)
      return
    }
    exchange = new Exchange(
      connection,
      {
        head: onHead,
        data: () => true,
        ended: () => {
          if (exchange?.head !== undefined && isUnnamedRefusal(exchange.head)) connection.destroy()
          else pool.release(connection)
          report((exchange?.head?.status ?? 500) >= 500 ? 'error' : 'ok')
        },
        failed: () => {
          report('lost')
        },
      },
      now,
      dialect,
    )
    exchange.start({
      method: 'GET',
      target: path,
      fields: [...attemptFields(attemptId, dialect)],
      attemptId,
      body: undefined,
      maxResponseBytes: MAX_UNUSED_BODY_BYTES,
    })
  })
}
