/** Cases of section 1.4: what happens to servers, reports and entries during a run. */
import { required } from './required'
import type { Random } from '@bilberrystall/base'
import type { EventQueue } from './event-queue'
import { StandInServer } from './stand-in-server'
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

/** Time in ms of the fault within a run. */
export const FAULT_AT = 5000
/** Measured part of a run in ms, the same for all cases. */
export const MEASURE_FROM = FAULT_AT
export const RUN_LENGTH = 20_000

/** What a case may act upon. */
export interface Scene {
  readonly events: EventQueue
  readonly servers: readonly StandInServer[]
  readonly random: Random
  /** The server restarted and announced itself anew. */
  restarted(server: number): void
  loseDomain(domain: number): void
  loseEntry(entry: number): void
}

const SLOW_FACTOR = 10
const FLAP_FACTOR = 4
const FLAP_PAUSE = 1000
const FLAP_LENGTH = 100
const COLD_FACTOR = 4
const COLD_DECAY = 2000
const COLD_STEP = 100

export function applyCase(name: CaseName, scene: Scene): void {
  const first = required(scene.servers[0])
  switch (name) {
    case 'steady state':
    case 'overload 150%':
      return
    case 'one server 10 times slower':
      scene.events.at(FAULT_AT, () => {
        first.setSlowness(SLOW_FACTOR)
      })
      return
    case 'flapping neighbours':
      for (const server of scene.servers) flap(scene, server)
      return
    case 'fail-fast server':
      scene.events.at(FAULT_AT, () => {
        first.isFailing = true
      })
      return
    case 'report always idle':
      for (const server of scene.servers) server.reportsIdle = server.index % 4 === 0
      return
    case 'reports 500 ms old':
      for (const server of scene.servers) ageReports(scene, server)
      return
    case 'cold start of a third':
      for (const server of scene.servers) if (server.index % 3 === 0) startCold(scene, server)
      return
    case 'one entry lost':
      scene.events.at(FAULT_AT, () => {
        scene.loseEntry(0)
      })
      return
    case 'one failure domain lost':
      scene.events.at(FAULT_AT, () => {
        scene.loseDomain(0)
      })
      return
  }
}

function flap(scene: Scene, server: StandInServer): void {
  scene.events.after(exponential(scene.random, FLAP_PAUSE), () => {
    server.setSlowness(FLAP_FACTOR)
    scene.events.after(exponential(scene.random, FLAP_LENGTH), () => {
      server.setSlowness(1)
      flap(scene, server)
    })
  })
}

function ageReports(scene: Scene, server: StandInServer): void {
  server.reportAge = 500
  const record = (): void => {
    server.recordHistory()
    scene.events.after(StandInServer.historyStep, record)
  }
  record()
}

function startCold(scene: Scene, server: StandInServer): void {
  const warm = (): void => {
    const age = scene.events.now - FAULT_AT
    server.setSlowness(1 + COLD_FACTOR * Math.exp(-age / COLD_DECAY))
    if (age < 5 * COLD_DECAY) scene.events.after(COLD_STEP, warm)
    else server.setSlowness(1)
  }
  scene.events.at(FAULT_AT, () => {
    scene.restarted(server.index)
    warm()
  })
}
