/** A probe measures a server with a request of its own on a path that every server answers. */
import type { ExchangeOutcome, Load } from '@bilberrystall/routing'
import { Exchange } from './exchange'
import type { ServerPool } from './pool'

export const PROBE_PATH = '/.bilberrystall/probe'

export type Probed = (outcome: ExchangeOutcome, latency: number, load: Load | undefined) => void

/** Reports once, after `limitMs` at the latest; a probe that takes longer is cancelled at the server. */
export function probe(pool: ServerPool, limitMs: number, now: () => number, probed: Probed): void {
  const startedAt = now()
  let exchange: Exchange | undefined
  let reported = false
  const report = (outcome: ExchangeOutcome) => {
    if (reported) return
    reported = true
    clearTimeout(timer)
    probed(outcome, now() - startedAt, exchange?.head?.load)
  }
  const timer = setTimeout(() => {
    exchange?.cancel()
    report('timeout')
  }, limitMs)
  pool.acquire(true, (result) => {
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
        head: () => undefined,
        data: () => true,
        ended: () => {
          pool.release(connection)
          report((exchange?.head?.status ?? 500) >= 500 ? 'error' : 'ok')
        },
        failed: () => {
          report('lost')
        },
      },
      now,
    )
    exchange.start({ method: 'GET', target: PROBE_PATH, fields: [], body: undefined })
  })
}
