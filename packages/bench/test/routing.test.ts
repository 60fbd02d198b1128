import { describe, expect, test } from 'vitest'
import { runPolicy, type Scenario } from '../src/routing/comparison'
import { EventQueue } from '../src/routing/event-queue'
import { StandInServer } from '../src/routing/stand-in-server'
import { WORKLOADS } from '../src/routing/workload'

describe('stand-in server', () => {
  const run = (change: (server: StandInServer, events: EventQueue) => void): number[] => {
    const events = new EventQueue()
    const server = new StandInServer(0, 0, events)
    const ends: number[] = []
    for (let job = 0; job < 4; job += 1) {
      server.accept({ remaining: 10, done: () => ends.push(events.now) }, Number.POSITIVE_INFINITY)
    }
    change(server, events)
    events.runUntil(1000)
    return ends
  }

  // Guards against a comparison in which a server runs more calls at once than it has slots.
  test('the fourth call waits for one of three slots', () => {
    expect(run(() => undefined)).toEqual([10, 10, 10, 20])
  })

  // Guards against a slowdown that spares calls in flight.
  test('a change of speed applies to running calls', () => {
    const ends = run((server, events) => {
      events.at(5, () => {
        server.setSlowness(10)
      })
    })
    expect(ends).toEqual([55, 55, 55, 155])
  })

  test('a full server refuses a call that accepts no queue', () => {
    run((server) => {
      expect(server.accept({ remaining: 1, done: () => undefined }, 0)).toBe(false)
    })
  })
})

// Guards against figures that cannot be repeated.
test('a run with the same seed gives the same figures, and keeps the measuring budget', () => {
  const scenario: Scenario = {
    workload: WORKLOADS.booking,
    caseName: 'fail-fast server',
    distribution: 'exponential',
    load: 0.5,
    seed: 3,
  }
  const first = runPolicy(scenario, 'router')
  expect(runPolicy(scenario, 'router')).toEqual(first)
  expect(first.budgetExceeded).toBe(0)
  expect(first.failFastShare).toBeLessThan(0.02)
})
