import { describe, expect, test } from 'vitest'
import { runPolicy, type Scenario } from '../src/routing/comparison'
import { EventQueue } from '../src/routing/event-queue'
import { SimulatedServer } from '../src/routing/simulated-server'
import { WORKLOADS } from '../src/routing/workload'

describe('simulated server', () => {
  const run = (change: (server: SimulatedServer, events: EventQueue) => void): number[] => {
    const events = new EventQueue()
    const server = new SimulatedServer(0, 0, events)
    const ends: number[] = []
    for (let job = 0; job < 4; job += 1) {
      server.accept({ remainingServiceTime: 10, onDone: () => ends.push(events.now) }, Number.POSITIVE_INFINITY)
    }
    change(server, events)
    events.runUntil(1000)
    return ends
  }

  // Guards against a server that runs more calls at the same time than it has slots.
  test('the fourth call waits for one of three slots', () => {
    expect(run(() => undefined)).toEqual([10, 10, 10, 20])
  })

  // Guards against a slowdown that does not affect calls in flight.
  test('a change of speed applies to running calls', () => {
    const ends = run((server, events) => {
      events.at(5, () => {
        server.setSlowdown(10)
      })
    })
    expect(ends).toEqual([55, 55, 55, 155])
  })

  test('a full server refuses a call whose queue limit is 0', () => {
    run((server) => {
      expect(server.accept({ remainingServiceTime: 1, onDone: () => undefined }, 0)).toBe(false)
    })
  })
})

// Guards against figures that cannot be reproduced, and against probes that exceed the measuring budget.
test('runs with the same seed give the same figures and stay within the measuring budget', () => {
  const scenario: Scenario = {
    workload: WORKLOADS.booking,
    caseName: 'fail-fast server',
    distribution: 'exponential',
    load: 0.5,
    seed: 3,
  }
  const first = runPolicy(scenario, 'router')
  expect(runPolicy(scenario, 'router')).toEqual(first)
  expect(first.windowsOverBudget).toBe(0)
  expect(first.failFastShare).toBeLessThan(0.02)
})
