/** Costs of the router: memory per server, CPU per call by the number of servers, and memory per waiting call. */
import { failureDomain, seededRandom, serverId, serviceName, type ServiceName } from '@bilberrystall/base'
import { callId, Router, type Call, type CallId } from '@bilberrystall/routing'
import { cpuMicrosecondsPerRun, retainedBytes } from './measure-cost'
import type { Measurement } from './slope'

const SLOTS = 3
/** 1,300 servers in 54 services. */
const SERVERS_PER_SERVICE = 24
/** Calls in flight per server while the CPU per call is measured; less than the slots, so that no call waits. */
const IN_FLIGHT_PER_SERVER = 1.25
const CALL_INTERVAL_MS = 0.5
const SERVICE_TIME_MS = 15
/** Late enough that the router does not shed waiting calls. */
const UNREACHED_DEADLINE_MS = 1e9

function serviceOf(index: number, perService: number): ServiceName {
  return serviceName(`service-${Math.floor(index / perService)}`)
}

function createRouter(servers: number, perService: number): Router {
  const router = new Router({ random: seededRandom(1) })
  for (let index = 0; index < servers; index += 1) {
    const domain = failureDomain(`fd-${index % 7}`)
    const service = serviceOf(index, perService)
    const id = serverId(`server-${index}`)
    router.updateServer({ id, service, domain, slots: SLOTS, state: 'ready', firstSeen: -1e6 }, 0)
  }
  return router
}

function createCall(number: number, service: ServiceName, deadline: number): Call {
  return { id: callId(number), service, urgency: 'urgent', deadline, repeatable: true }
}

/** Returns a function that submits and starts a call, and finishes the oldest one if enough are in flight. */
function createCallRunner(servers: number): (run: number) => void {
  const router = createRouter(servers, servers)
  const service = serviceOf(0, servers)
  const inFlight = Math.ceil(servers * IN_FLIGHT_PER_SERVER)
  const sent: CallId[] = []
  return (run) => {
    const now = run * CALL_INTERVAL_MS
    for (const effect of router.submit(createCall(run, service, now + 1_000), now)) {
      if (effect.kind !== 'dispatch') continue
      router.started(effect.call, now)
      sent.push(effect.call)
    }
    if (router.nextWake() <= now) router.tick(now)
    if (sent.length < inFlight) return
    const done = sent.shift()
    const load = { inflight: 1, slots: SLOTS, queue: 0 }
    if (done !== undefined) router.finished(done, 'ok', SERVICE_TIME_MS, load, now)
  }
}

/** Creates a router whose only server has no free slot, with the given number of waiting calls. */
function routerWithWaitingCalls(count: number): Router {
  const router = createRouter(1, 1)
  const service = serviceOf(0, 1)
  router.configure(service, { queue: 100_000 }, 0)
  let dispatched = 0
  for (let number = 0; number < count + dispatched; number += 1) {
    for (const effect of router.submit(createCall(number, service, UNREACHED_DEADLINE_MS), 0)) {
      if (effect.kind === 'shed') throw new Error(`call ${number} was shed: ${effect.code}`)
      if (effect.kind === 'dispatch') dispatched += 1
    }
  }
  return router
}

export const routerMeasurements: readonly Measurement[] = [
  {
    name: 'router memory',
    per: 'servers',
    unit: 'bytes',
    sizes: [50, 200, 600, 1300],
    measure: (size) => retainedBytes(() => createRouter(size, SERVERS_PER_SERVICE)),
  },
  {
    name: 'router CPU of one call',
    per: 'servers of the service',
    unit: 'µs',
    sizes: [6, 12, 24, 60, 120],
    measure: (size) => cpuMicrosecondsPerRun(createCallRunner(size)),
  },
  {
    name: 'router memory of waiting calls',
    per: 'waiting calls',
    unit: 'bytes',
    sizes: [1_000, 3_000, 6_000, 10_000],
    measure: (size) => retainedBytes(() => routerWithWaitingCalls(size)),
  },
]
