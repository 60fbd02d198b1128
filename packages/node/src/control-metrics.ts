/** Counters, gauges and latencies of the control role. */
import { resultCode, type CodeName } from '@bilberrystall/base'
import type { Status } from '@bilberrystall/consensus'
import type { Metrics } from './metrics'

const MICROSECONDS_PER_MS = 1_000

export interface ControlMetrics {
  /** Counts an operator request by its result code. */
  readonly countRequest: (code: CodeName) => void
  /** Records the duration of a log sync in milliseconds. */
  readonly recordSync: (duration: number) => void
  readonly setDiskFull: (isFull: boolean) => void
}

/** What the metrics read; `control` below returns undefined while the node has no open replica. */
export interface MeasuredControl {
  readonly host: { readonly status: () => Status }
  readonly leases: { readonly allocatedRate: number }
}

export function controlMetrics(metrics: Metrics, control: () => MeasuredControl | undefined): ControlMetrics {
  const status = () => control()?.host.status()
  const requests = metrics.counter('operator_requests_total', 'Operator requests by result', ['result'])
  const sync = metrics.latency('control_sync', 'Duration of syncing records of the control log')
  metrics.gauge('control_leader', 'Whether this replica leads the control log', () =>
    Number(status()?.role === 'leader'),
  )
  metrics.gauge('control_replica_open', 'Whether the replica of this node is open', () =>
    Number(status() !== undefined),
  )
  metrics.gauge(
    'quota_allocated_rate',
    'Requests/s of the shares of quotas that this leader allocated',
    () => control()?.leases.allocatedRate ?? 0,
  )
  let diskIsFull = false
  metrics.gauge('control_disk_full', 'Whether the disk of the control log refuses writes', () => Number(diskIsFull))
  metrics.gauge('control_term', 'Term of the control log', () => status()?.term ?? 0)
  metrics.gauge('control_commit_index', 'Highest committed index of the control log', () => status()?.commit ?? 0)
  metrics.gauge('control_log_entries', 'Control log entries in memory', () => status()?.logEntries ?? 0)
  return {
    countRequest: (code) => {
      requests.inc({ result: resultCode(code).name })
    },
    recordSync: (duration) => {
      sync.recordValue(Math.max(1, Math.round(duration * MICROSECONDS_PER_MS)))
    },
    setDiskFull: (isFull) => {
      diskIsFull = isFull
    },
  }
}
