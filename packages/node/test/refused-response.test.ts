/** Guards against refused responses that leave no line, a line that hides the reason, or so many that they flood the log. */
import { serverId } from '@bilberrystall/base'
import type { RefusedResponse, ResponseRefusal } from '@bilberrystall/entry'
import { afterEach, expect, test, vi } from 'vitest'
import { createLog } from '../src/log'
import { Metrics } from '../src/metrics'
import { ResponseRefusals } from '../src/response-refusals'

const SERVER = serverId('production/booking/b1')
const REFUSED = { connection: 40_001, requests: 3, attempt: '9c41d07be2a35f68' }

afterEach(() => {
  vi.restoreAllMocks()
})

function setup() {
  const texts: string[] = []
  vi.spyOn(process.stderr, 'write').mockImplementation((text) => texts.push(String(text)) > 0)
  let now = 0
  const known = new Set([SERVER])
  const metrics = new Metrics()
  const refusals = new ResponseRefusals({
    context: { log: createLog({ node: 'entry-1', terminal: false }), metrics, now: () => now },
    isKnown: (server) => known.has(server),
  })
  const refuse = (refusal: ResponseRefusal, part: Partial<RefusedResponse> = {}, server = SERVER) => {
    refusals.events.responseRefused(server, { ...REFUSED, refusal, ...part })
  }
  const lines = () => texts.map((text) => JSON.parse(text) as Record<string, unknown>)
  return {
    refusals,
    refuse,
    known,
    lines,
    /** Lines as they are written, without the time. */
    rawLines: () => texts.map((text) => text.replace(/"time":"[^"]*",/, '').trimEnd()),
    metric: async (name: string) =>
      (await metrics.render()).split('\n').filter((line) => line.startsWith(`bilberrystall_${name}`)),
    advanceTime: (ms: number) => (now += ms),
  }
}

test('one line tells the reason of each refused response, its server, connection and attempt', () => {
  const { refuse, rawLines } = setup()
  refuse({ kind: 'stray-bytes' }, { attempt: undefined })
  refuse({ kind: 'malformed', detail: 'Response does not match the HTTP/1.1 protocol (Invalid header token)' })
  refuse({ kind: 'joined-heads' })
  refuse({ kind: 'repeated-field', field: 'attempt-id' })
  refuse({ kind: 'invalid-status', status: 700 })
  refuse({ kind: 'other-attempt', received: '635ac250139e045c' })
  refuse({ kind: 'other-attempt', received: undefined })
  refuse({ kind: 'unnamed-refusal' })
  refuse({ kind: 'unsigned' })
  refuse({ kind: 'encoded' })
  refuse({ kind: 'head-in-body' }, {}, serverId('production/booking/b2'))
  expect(rawLines().join('\n')).toMatchSnapshot()
})

test('text that a server chose is cut off and cannot control a terminal or form another line', () => {
  const { refuse, lines, rawLines } = setup()
  refuse({ kind: 'other-attempt', received: '\u001b[2J\u009b1m\n{"event":"call-failed"}\\x41\u2028' })
  refuse({ kind: 'other-attempt', received: '\u00ff'.repeat(16_000) })
  refuse({ kind: 'repeated-field', field: 'x'.repeat(16_000) })
  refuse({ kind: 'malformed', detail: 'y'.repeat(16_000) })
  refuse({ kind: 'unsigned' }, { attempt: `\u009b${'z'.repeat(16_000)}` })
  const [first] = lines()
  expect(first?.received).toBe('\\x1b[2J\\x9b1m\\x0a{"event":"call-failed"}\\x5cx41\\u2028')
  expect(lines()[2]?.field).toBe(`${'x'.repeat(100)}...`)
  expect(rawLines()).toHaveLength(5)
  for (const line of rawLines()) {
    expect(line).toMatch(/^[\x20-\x7e]*$/)
    expect(line.length).toBeLessThan(1000)
  }
})

test('a server that sends such bytes all the time leaves a few lines a second, which count the omitted ones', () => {
  const { refuse, lines, advanceTime } = setup()
  for (let count = 0; count < 10_000; count += 1) refuse({ kind: 'stray-bytes' })
  expect(lines()).toHaveLength(10)
  for (let second = 0; second < 10; second += 1) {
    advanceTime(1000)
    for (let count = 0; count < 1000; count += 1) refuse({ kind: 'unsigned' })
  }
  expect(lines()).toHaveLength(60)
  const omitted = lines().flatMap((line) => line.omitted ?? [])
  expect(omitted).toEqual([9990, ...Array.from({ length: 9 }, () => 995)])
})

test('the lines of one server do not use up those of another', () => {
  const { refuse, lines } = setup()
  for (let count = 0; count < 1000; count += 1) refuse({ kind: 'stray-bytes' })
  refuse({ kind: 'joined-heads' }, {}, serverId('production/booking/b2'))
  expect(lines().at(-1)).toMatchObject({ server: 'production/booking/b2', reason: 'joined-heads' })
  expect(lines().at(-1)).not.toHaveProperty('omitted')
})

test('many servers together are limited as well, and every refusal is counted as written or omitted', () => {
  const { refuse, lines, advanceTime } = setup()
  const SERVERS = 5000
  for (let server = 0; server < SERVERS; server += 1) {
    refuse({ kind: 'unsigned' }, {}, serverId(`production/booking/b${server}`))
  }
  expect(lines()).toHaveLength(60)
  advanceTime(1000)
  for (let server = SERVERS - 1000; server < SERVERS; server += 1) {
    refuse({ kind: 'unsigned' }, {}, serverId(`production/booking/b${server}`))
  }
  expect(lines()).toHaveLength(80)
  expect(lines().at(-1)?.omitted).toBe(1)
})

test('refusals are counted by reason, also those without a line', async () => {
  const { refuse, metric } = setup()
  for (let count = 0; count < 500; count += 1) refuse({ kind: 'other-attempt', received: `id-${count}` })
  refuse({ kind: 'malformed', detail: 'Invalid header token' })
  expect(await metric('responses_refused_total')).toMatchSnapshot()
})

test('changes of the reuse of connections leave one line each, and the servers without reuse are counted', async () => {
  const { refusals, rawLines, metric } = setup()
  const { reuseChanged } = refusals.events
  reuseChanged(SERVER, true)
  reuseChanged(SERVER, false)
  reuseChanged(SERVER, false)
  expect(await metric('servers_without_connection_reuse')).toEqual(['bilberrystall_servers_without_connection_reuse 1'])
  reuseChanged(SERVER, true)
  expect(await metric('servers_without_connection_reuse')).toEqual(['bilberrystall_servers_without_connection_reuse 0'])
  expect(rawLines().join('\n')).toMatchSnapshot()
})

test('a server that left is not counted, also if its last bytes arrive later', async () => {
  const { refusals, known, lines, metric } = setup()
  refusals.events.reuseChanged(SERVER, false)
  known.delete(SERVER)
  refusals.serverLeft(SERVER)
  refusals.events.reuseChanged(SERVER, false)
  expect(await metric('servers_without_connection_reuse')).toEqual(['bilberrystall_servers_without_connection_reuse 0'])
  expect(lines()).toHaveLength(1)
})
