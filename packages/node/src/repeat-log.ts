/**
 * Metric and log of requests that are sent to servers once more. A line sums up 10 s for one service, so that the lines of
 * all entries tell which kind of repetition exceeds the allowance of the platform, and among how many entries each divided it.
 */
import type { ServiceName } from '@bilberrystall/base'
import type { Repeat, RepeatKind } from '@bilberrystall/entry'
import type { NodeContext } from './node-context'

const INTERVAL_MS = 10_000

export interface RepeatLogOptions {
  readonly context: Pick<NodeContext, 'log' | 'metrics'>
  /** Returns the number of entries among which the allowance is divided. */
  readonly entries: () => number
}

interface Counts {
  readonly sent: Partial<Record<RepeatKind, number>>
  exhausted: number
}

export class RepeatLog {
  readonly #options: RepeatLogOptions
  readonly #counter
  readonly #services = new Map<ServiceName, Counts>()

  constructor(options: RepeatLogOptions) {
    this.#options = options
    this.#counter = options.context.metrics.counter(
      'call_repeats_total',
      'Requests sent once more, or not for want of a retry budget, by kind',
      ['kind', 'budget'],
    )
  }

  add({ service, kind, budget }: Repeat): void {
    this.#counter.inc({ kind, budget })
    if (this.#services.size === 0) this.#schedule()
    const counts = this.#services.get(service) ?? { sent: {}, exhausted: 0 }
    this.#services.set(service, counts)
    if (budget === 'exhausted') counts.exhausted += 1
    else counts.sent[kind] = (counts.sent[kind] ?? 0) + 1
  }

  #schedule(): void {
    setTimeout(() => {
      this.#write()
    }, INTERVAL_MS).unref()
  }

  #write(): void {
    const { context, entries } = this.#options
    for (const [service, { sent, exhausted }] of this.#services) {
      context.log.info('requestsRepeated', { service, ...sent, exhausted, entries: entries() })
    }
    this.#services.clear()
  }
}
