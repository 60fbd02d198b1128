import { expect, test } from 'vitest'
import { findRevertedRuns, findSupersededRuns, type RouteMove, type RouteRun } from '../src/index'

const APPLY_MS = 2000
const SLACK_MS = 250

const MOVES: readonly RouteMove[] = [
  { base: 0, service: 'a', acknowledgedAt: 0 },
  { base: 1, service: 'b', acknowledgedAt: 1000 },
  { base: 2, service: 'c', acknowledgedAt: undefined },
]

const run = (service: string, sentAt: number, change: Partial<RouteRun> = {}): RouteRun => ({
  requestId: `${service} at ${sentAt}`,
  entry: 'entry-1',
  process: 'entry-1 pid 7',
  service,
  sentAt,
  endedAt: sentAt + 10,
  ...change,
})

const supersededOf = (runs: readonly RouteRun[], isExcused?: (run: RouteRun, acknowledgedAt: number) => boolean) =>
  findSupersededRuns({ moves: MOVES, runs, applyMs: APPLY_MS, ...(isExcused === undefined ? {} : { isExcused }) })

test('a request that is run as only a superseded version allows is found once the newer one must be in force', () => {
  const runs = [run('a', 2900), run('a', 3000), run('a', 3001), run('b', 9000), run('c', 9000)]
  expect(supersededOf(runs)).toEqual([{ ...run('a', 3001), revision: 2, sentAfterMs: 2001 }])
})

test('a change that was not acknowledged supersedes nothing, and an older one that returns is not superseded', () => {
  const moves = [...MOVES, { base: 3, service: 'a', acknowledgedAt: 5000 }]
  const runs = [run('a', 4000), run('b', 4000), run('b', 8000)]
  expect(findSupersededRuns({ moves, runs, applyMs: APPLY_MS })).toMatchObject([{ service: 'b', sentAt: 8000 }])
})

test('an excused change does not excuse an older one', () => {
  const moves = [...MOVES, { base: 3, service: 'd', acknowledgedAt: 5000 }]
  const runs = [run('a', 8000), run('b', 8000)]
  const isExcused = (_: RouteRun, acknowledgedAt: number) => acknowledgedAt === 5000
  expect(findSupersededRuns({ moves, runs, applyMs: APPLY_MS, isExcused })).toMatchObject([
    { service: 'a', revision: 2 },
  ])
})

test('a process that goes back to an older version is found, also before a change is acknowledged', () => {
  const runs = [run('a', 100), run('c', 200), run('b', 450), run('b', 461)]
  expect(findRevertedRuns(MOVES, runs, SLACK_MS)).toEqual([{ ...run('b', 461), revision: 3 }])
})

test('versions of other processes, and requests without a response, are not seen in force', () => {
  const restarted = run('a', 900, { process: 'entry-1 pid 8' })
  expect(findRevertedRuns(MOVES, [run('b', 200, { endedAt: Infinity }), run('a', 900)], SLACK_MS)).toEqual([])
  expect(findRevertedRuns(MOVES, [run('b', 200), restarted], SLACK_MS)).toEqual([])
})
