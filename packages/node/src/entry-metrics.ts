/** Metrics of an entry that are read from its parts, and the log of failed calls with the count of omitted lines. */
import type { ClaimTable } from '@bilberrystall/claims'
import { FailureLog } from './failure-log'
import type { Metrics } from './metrics'
import type { NodeContext } from './node-context'

export interface EntryGaugeSources {
  readonly callsInFlight: () => number
  readonly isCutOff: () => boolean
  readonly claimTable: Pick<ClaimTable, 'size' | 'bytes'>
  readonly servers: () => number
  readonly limitedServers: () => number
  readonly coldServers: () => number
  readonly evacuatedDomains: () => number
}

export function registerEntryGauges(metrics: Metrics, sources: EntryGaugeSources): void {
  const { callsInFlight, isCutOff, claimTable, servers, limitedServers, coldServers, evacuatedDomains } = sources
  metrics.gauge('calls_in_flight', 'Calls in flight at the entry', callsInFlight)
  metrics.gauge('servers_unreachable', 'Whether this entry reaches no server', () => Number(isCutOff()))
  metrics.gauge('claimed_keys', 'Idempotency keys stored by this holder', () => claimTable.size)
  metrics.gauge('claim_bytes', 'Bytes of stored idempotency keys', () => claimTable.bytes)
  metrics.gauge('servers_limited', 'Servers that name a rate limit', limitedServers)
  metrics.gauge('servers_cold', 'Servers that are cold and limited', coldServers)
  metrics.gauge('evacuated_domains', 'Evacuated failure domains', evacuatedDomains)
  metrics.gauge('servers', 'Known servers of the environment', servers)
}

export function createFailureLog({ log, metrics, now }: Pick<NodeContext, 'log' | 'metrics' | 'now'>): FailureLog {
  const omitted = metrics.counter('log_lines_omitted_total', 'Log lines of failed calls omitted by the rate limit')
  return new FailureLog({
    log,
    now,
    onOmitted: () => {
      omitted.inc()
    },
  })
}
