/** Cases of section 1.4: the faults of servers, load reports and entries that a simulation run applies. */
import { requireDefined } from './require-defined'
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

/** Simulated time at which the fault of a case occurs. */
export const FAULT_AT_MS = 5000
/** Calls that arrive between these simulated times are measured; the same range is used for all cases. */
export const MEASURE_FROM_MS = FAULT_AT_MS
export const RUN_DURATION_MS = 20_000

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
const MEAN_FLAP_INTERVAL_MS = 1000
const MEAN_FLAP_DURATION_MS = 100
/** Added to the normal slowdown of 1 right after a cold start; the addition decays exponentially. */
const COLD_START_SLOWDOWN = 4
const COLD_START_DECAY_MS = 2000
const COLD_START_UPDATE_INTERVAL_MS = 100

export function applyCase(name: CaseName, context: CaseContext): void {
  const firstServer = requireDefined(context.servers[0])
  switch (name) {
    case 'steady state':
    case 'overload 150%':
      return
    case 'one server 10 times slower':
      context.events.at(FAULT_AT_MS, () => {
        firstServer.setSlowdown(SLOW_SERVER_SLOWDOWN)
      })
      return
    case 'flapping neighbours':
      for (const server of context.servers) scheduleFlap(context, server)
      return
    case 'fail-fast server':
      context.events.at(FAULT_AT_MS, () => {
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
      context.events.at(FAULT_AT_MS, () => {
        context.loseEntry(0)
      })
      return
    case 'one failure domain lost':
      context.events.at(FAULT_AT_MS, () => {
        context.loseDomain(0)
      })
      return
  }
}

function scheduleFlap(context: CaseContext, server: SimulatedServer): void {
  context.events.after(exponential(context.random, MEAN_FLAP_INTERVAL_MS), () => {
    server.setSlowdown(FLAP_SLOWDOWN)
    context.events.after(exponential(context.random, MEAN_FLAP_DURATION_MS), () => {
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
    const age = context.events.now - FAULT_AT_MS
    server.setSlowdown(1 + COLD_START_SLOWDOWN * Math.exp(-age / COLD_START_DECAY_MS))
    if (age < 5 * COLD_START_DECAY_MS) context.events.after(COLD_START_UPDATE_INTERVAL_MS, updateSlowdown)
    else server.setSlowdown(1)
  }
  context.events.at(FAULT_AT_MS, () => {
    context.notifyServerRestarted(server.index)
    updateSlowdown()
  })
}
