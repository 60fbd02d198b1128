/** Guards against a limit on hedged attempts that operators set and that is not applied or not visible. */
import { serviceName } from '@bilberrystall/base'
import { HedgingPolicies } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { registerHedgingMetrics } from '../src/hedging-metrics'
import { Metrics } from '../src/metrics'
import { parseSettings } from '../src/settings'

const SETTINGS = `
[node]
name = a
roles = entry
address = 127.0.0.1:7000
status-listen = 127.0.0.1:7001
failure-domain = west
[entry]
environment = production
listen = 127.0.0.1:7002
`

test.each([
  ['', undefined],
  ['hedge-limit = 0%', 0],
  ['hedge-limit = 2.5%', 0.025],
])('the setting "%s" is read as %s', (line, limit) => {
  expect(parseSettings(SETTINGS + line, '.')._unsafeUnwrap().entry?.hedgeLimit).toBe(limit)
})

test('a limit that is no percentage is a fault of the settings', () => {
  expect(parseSettings(`${SETTINGS}hedge-limit = 3`, '.')._unsafeUnwrapErr().message).toContain('hedge-limit')
})

test('hedged attempts are counted by service, result and reason, and as percent of the calls of the last 10 s', async () => {
  const hedging = new HedgingPolicies({ defaultLimit: 0.1 })
  const policy = hedging.of(serviceName('booking'))
  for (let call = 0; call < 50; call += 1) policy.callSent(call)
  policy.hedgeSent(100)
  policy.totals.results.won += 1
  policy.totals.denials.limit += 3
  const metrics = new Metrics()
  registerHedgingMetrics(metrics, { hedging, now: () => 200 })
  const lines = (await metrics.render()).split('\n').filter((line) => line.startsWith('bilberrystall_hedged'))
  expect(lines).toMatchSnapshot()
})
