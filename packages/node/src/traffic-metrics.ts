/** Metrics of what a node exchanges with other nodes. */
import type { TrafficCounter } from '@bilberrystall/rpc'
import type { Gossip } from './gossip'
import type { Metrics } from './metrics'

export function registerTrafficMetrics(metrics: Metrics, traffic: TrafficCounter, gossip: Gossip): void {
  metrics.gauge('control_bytes', 'Bytes exchanged with other nodes', () => traffic.totalBytes())
  metrics.totals('rpc_calls_total', 'Calls to and from other nodes; a stream counts once', {
    labelNames: ['side', 'method'],
    read: () => traffic.calls().map(({ side, method, calls }) => ({ labels: { side, method }, total: calls })),
  })
  metrics.totals('gossip_exchanges_total', 'Gossip exchanges begun by peers, by what they compare', {
    labelNames: ['compared'],
    read: () => [
      { labels: { compared: 'digests' }, total: gossip.handled.digests },
      { labels: { compared: 'versions' }, total: gossip.handled.versions },
    ],
  })
}
