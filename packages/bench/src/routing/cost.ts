/** Measures the cost of the router per call, from `submit` to `finished`, without its driver. */
import { performance } from 'node:perf_hooks'
import { failureDomain, seededRandom, serverId, serviceName } from '@bilberrystall/base'
import { callId, Router, type Call, type CallId } from '@bilberrystall/routing'

const SERVERS = 24
const SLOTS = 3
const CALLS_IN_FLIGHT = 30
const WARM_UP_CALLS = 100_000
const CALLS = 500_000

/**
 * Returns the mean cost per call in µs for a service of 24 servers with 30 calls in flight. This is the mean size of a
 * service if 1,300 servers belong to 54 services.
 */
export function measureCostPerCall(): number {
  const router = createRouter()
  runCalls(router, 0, WARM_UP_CALLS)
  const start = performance.now()
  runCalls(router, WARM_UP_CALLS, CALLS)
  return ((performance.now() - start) * 1000) / CALLS
}

function createRouter(): Router {
  const router = new Router({ random: seededRandom(1) })
  for (let index = 0; index < SERVERS; index += 1) {
    const domain = failureDomain(`domain-${index % 4}`)
    const id = serverId(`server-${index}`)
    router.updateServer({ id, service: SERVICE, domain, slots: SLOTS, state: 'ready', firstSeen: -1e6 }, 0)
  }
  return router
}

const SERVICE = serviceName('measured')

function runCalls(router: Router, firstNumber: number, calls: number): void {
  const sent: CallId[] = []
  for (let number = firstNumber; number < firstNumber + calls; number += 1) {
    const now = number * 0.5
    const call: Call = {
      id: callId(number),
      service: SERVICE,
      urgency: 'urgent',
      deadline: now + 1000,
      repeatable: true,
    }
    for (const effect of router.submit(call, now)) {
      if (effect.kind !== 'dispatch') continue
      router.started(effect.call, now)
      sent.push(effect.call)
    }
    if (router.nextWake() <= now) router.tick(now)
    if (sent.length < CALLS_IN_FLIGHT) continue
    const done = sent.shift()
    if (done !== undefined) router.finished(done, 'ok', 15, { inflight: 1, slots: SLOTS, queue: 0 }, now)
  }
}
