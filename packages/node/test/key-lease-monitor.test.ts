/** Guards against ends of the key lease that no log line or metric shows, and against waits for the regular renewal. */
import { expect, onTestFinished, test, vi } from 'vitest'
import { KeyLeaseMonitor, type KeyLeaseMonitorOptions } from '../src/key-lease-monitor'
import { Metrics } from '../src/metrics'

function makeMonitor(options: Partial<KeyLeaseMonitorOptions> = {}) {
  vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout'] })
  onTestFinished(() => {
    vi.useRealTimers()
  })
  const clocks = { monotonic: 0, suspended: 0 }
  const inUse = { revision: 1, requiresKeys: true }
  const lines: string[] = []
  const write = (code: string, fields: object = {}) => lines.push(`${code} ${JSON.stringify(fields)}`)
  const renewNow = vi.fn()
  const metrics = new Metrics()
  const monitor = new KeyLeaseMonitor({
    revocation: { revokeMs: 5_000 },
    inUse: () => inUse,
    renewNow,
    log: { info: write, warn: write, error: write },
    metrics,
    now: () => clocks.monotonic,
    wallClock: () => clocks.monotonic + clocks.suspended,
    sinceBoot: () => clocks.monotonic + clocks.suspended,
    ...options,
  })
  const pass = (ms: number) => {
    for (let left = ms; left > 0; left -= 5) {
      clocks.monotonic += Math.min(5, left)
      vi.advanceTimersByTime(Math.min(5, left))
    }
  }
  const renew = (revision = inUse.revision) => {
    monitor.renewed({ sentAt: clocks.monotonic, revision })
  }
  return { monitor, clocks, inUse, lines, renewNow, metrics, pass, renew }
}

test('the end of the lease of an idle entry and its return are logged once', () => {
  const { monitor, lines, pass, renew } = makeMonitor()
  expect(monitor.areKeysConfirmed()).toBe(false)
  expect(lines).toEqual([])
  renew()
  for (let second = 0; second < 4; second += 1) {
    pass(1_000)
    renew()
  }
  expect(lines).toEqual([])
  pass(9_000)
  expect(monitor.areKeysConfirmed()).toBe(false)
  renew()
  expect(monitor.areKeysConfirmed()).toBe(true)
  expect(lines).toEqual(['keyLeaseEnded {"reason":"expired"}', 'keyLeaseReturned {"ms":5995}'])
})

test('a difference between the clocks renews the lease at once, and only once', () => {
  const { monitor, clocks, lines, renewNow, pass, renew } = makeMonitor()
  renew()
  pass(10)
  clocks.suspended += 20_000
  expect([monitor.areKeysConfirmed(), monitor.areKeysConfirmed()]).toEqual([false, false])
  expect(renewNow).toHaveBeenCalledTimes(1)
  pass(10)
  renew()
  expect(monitor.areKeysConfirmed()).toBe(true)
  expect(lines).toEqual(['keyLeaseEnded {"reason":"clocks"}', 'keyLeaseReturned {"ms":10}'])
})

test('the first document with organisations asks for a lease at once', () => {
  const { monitor, inUse, lines, renewNow, pass, renew } = makeMonitor()
  inUse.requiresKeys = false
  renew()
  pass(3_900)
  monitor.documentInUse()
  expect(renewNow).not.toHaveBeenCalled()
  Object.assign(inUse, { revision: 2, requiresKeys: true })
  monitor.documentInUse()
  expect(renewNow).toHaveBeenCalledTimes(1)
  expect(lines).toEqual([])
})

test('the metric shows whether keys are accepted', async () => {
  const { metrics, pass, renew } = makeMonitor()
  const value = async () => /bilberrystall_keys_confirmed (\d)/.exec(await metrics.render())?.[1]
  renew()
  expect(await value()).toBe('1')
  pass(3_100)
  expect(await value()).toBe('0')
})

test('without strict revocation keys are accepted without a lease', async () => {
  const { monitor, metrics, lines, pass } = makeMonitor({ revocation: undefined })
  pass(60_000)
  expect(monitor.areKeysConfirmed()).toBe(true)
  expect(lines).toEqual([])
  expect(await metrics.render()).not.toContain('keys_confirmed')
})
