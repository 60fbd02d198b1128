/** Quotas at an entry: connects the decisions on quotas with leases, the log, metrics and timers. */
import type { OrganisationName } from '@bilberrystall/base'
import type { Document } from '@bilberrystall/document'
import {
  OrganisationQuotas,
  QUOTA_WAIT_MS,
  type OrganisationShare,
  type QuotaBounds,
  type QuotaDecision,
} from '@bilberrystall/routing'
import type { LeaseQuotas } from './control-lease'
import type { NodeContext } from './node-context'
import { quotaLimits } from './quota-codec'

/** Sequence numbers of a process begin at the time of its start, in units of which a process uses fewer than elapse. */
const SEQUENCES_PER_MS = 1_000n

export interface EntryQuotasOptions {
  readonly context: Pick<NodeContext, 'self' | 'startedAt' | 'log' | 'metrics' | 'now'>
  readonly bounds: QuotaBounds | undefined
  /** Ids of the live entries. */
  readonly entries: () => readonly string[]
  /** Called when the leader should be asked before the lease is due. */
  readonly onUsedUp: () => void
}

export class EntryQuotas implements LeaseQuotas {
  readonly #options: EntryQuotasOptions
  readonly #quotas: OrganisationQuotas
  #sequence: bigint

  constructor(options: EntryQuotasOptions) {
    this.#options = options
    const { context, bounds, onUsedUp } = options
    const { log, metrics, now } = context
    this.#sequence = BigInt(Math.max(0, Math.round(context.startedAt))) * SEQUENCES_PER_MS
    this.#quotas = new OrganisationQuotas({
      entry: context.self,
      ...(bounds === undefined ? {} : { bounds }),
      startedAt: now(),
      onUsedUp,
      onExceeded: (organisation) => {
        log.warn('quotaExcessStarted', { organisation })
      },
      onExcessEnded: ({ organisation, refused, durationMs }) => {
        log.info('quotaExcessEnded', { organisation, refused, ms: durationMs })
      },
    })
    metrics.totals('quota_refused_total', 'Calls refused because their organisation has used up its quota', {
      labelNames: [],
      read: () => [{ labels: {}, total: this.#quotas.refused }],
    })
    metrics.gauge('quota_shares', 'Shares of quotas that this entry holds', () => this.#quotas.sharesHeld(now()))
    metrics.gauge('quota_held_rate', 'Requests/s of the shares that this entry holds', () => {
      return this.#quotas.heldRate(now())
    })
  }

  configure(document: Document): void {
    this.#quotas.configure(quotaLimits(document), this.#options.context.now())
  }

  take(organisation: OrganisationName): QuotaDecision {
    const { now } = this.#options.context
    const decision = this.#quotas.take(organisation, now())
    if (decision.kind === 'pending') {
      setTimeout(() => {
        this.#quotas.expire(now())
      }, QUOTA_WAIT_MS + 1)
    }
    return decision
  }

  statement(isUrgent: boolean) {
    const now = this.#options.context.now()
    this.#quotas.observeEntries(this.#options.entries(), now)
    this.#sequence += 1n
    return {
      quotaSequence: this.#sequence,
      quotas: isUrgent ? this.#quotas.urgentRequests(now) : this.#quotas.requests(now),
    }
  }

  apply(shares: readonly OrganisationShare[], sentAt: number): void {
    this.#quotas.apply(shares, sentAt, this.#options.context.now())
  }
}
