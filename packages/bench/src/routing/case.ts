/** Cases of section 1.4: the faults of servers, load reports and entries that a simulation run applies. */
import { required } from './required'
import type { RandomSource } from '@bilberrystall/base'
import type { EventQueue } from './event-queue'
import { SimulatedServer } from './simulated-server'
import { exponential } from './workload'

export type CaseName =
  | 'steady state'
  | 'one server 10 times slower'
  | 'flapping neighbours'
  | 'fail-fast server'
  | 'report always idle'
  | 'reports 500 ms old'
  | 'cold start of a third'
  | 'one entry lost'
  | 'one failure domain lost'
  | 'overload 150%'

/** Simulated time in ms at which the fault of a case occurs. */
export const FAULT_AT = 5000
/** Calls that arrive between these times in ms are measured; the same range is used for all cases. */
export const MEASURE_FROM = FAULT_AT
export const RUN_DURATION = 20_000

/** Parts of the simulation that a case can change. */
export interface CaseContext {
  readonly events: EventQueue
  readonly servers: readonly SimulatedServer[]
  readonly random: RandomSource
  /** Tells the policy that the server restarted and announced itself again. */
  notifyServerRestarted(server: number): void
  loseDomain(domain: number): void
  loseEntry(entry: number): void
}

const SLOW_SERVER_SLOWDOWN = 10
const FLAP_SLOWDOWN = 4
const MEAN_FLAP_INTERVAL = 1000
const MEAN_FLAP_DURATION = 100
const COLD_START_SLOWDOWN = 4
const COLD_START_DECAY = 2000
const COLD_START_UPDATE_INTERVAL = 100

export function applyCase(name: CaseName, context: CaseContext): void {
  const firstServer = required(context.servers[0])
  switch (name) {
    case 'steady state':
    case 'overload 150%':
      return
    case 'one server 10 times slower':
      context.events.at(FAULT_AT, () => {
        firstServer.setSlowdown(SLOW_SERVER_SLOWDOWN)
      })
      return
    case 'flapping neighbours':
      for (const server of context.servers) scheduleFlap(context, server)
      return
    case 'fail-fast server':
      context.events.at(FAULT_AT, () => {
        firstServer.isFailingFast = true
      })
      return
    case 'report always idle':
      for (const server of context.servers) server.alwaysReportsIdle = server.index % 4 === 0
      return
    case 'reports 500 ms old':
      for (const server of context.servers) delayReports(context, server)
      return
    case 'cold start of a third':
      for (const server of context.servers) if (server.index % 3 === 0) scheduleColdStart(context, server)
      return
    case 'one entry lost':
      context.events.at(FAULT_AT, () => {
        context.loseEntry(0)
      })
      return
    case 'one failure domain lost':
      context.events.at(FAULT_AT, () => {
        context.loseDomain(0)
      })
      return
  }
}

function scheduleFlap(context: CaseContext, server: SimulatedServer): void {
  context.events.after(exponential(context.random, MEAN_FLAP_INTERVAL), () => {
    server.setSlowdown(FLAP_SLOWDOWN)
    context.events.after(exponential(context.random, MEAN_FLAP_DURATION), () => {
      server.setSlowdown(1)
      scheduleFlap(context, server)
    })
  })
}

function delayReports(context: CaseContext, server: SimulatedServer): void {
  server.reportAge = 500
  const recordPeriodically = (): void => {
    server.recordLoad()
    context.events.after(SimulatedServer.historyInterval, recordPeriodically)
  }
  recordPeriodically()
}

function scheduleColdStart(context: CaseContext, server: SimulatedServer): void {
  const updateSlowdown = (): void => {
    const age = context.events.now - FAULT_AT
    server.setSlowdown(1 + COLD_START_SLOWDOWN * Math.exp(-age / COLD_START_DECAY))
    if (age < 5 * COLD_START_DECAY) context.events.after(COLD_START_UPDATE_INTERVAL, updateSlowdown)
    else server.setSlowdown(1)
  }
  context.events.at(FAULT_AT, () => {
    context.notifyServerRestarted(server.index)
    updateSlowdown()
  })
}
