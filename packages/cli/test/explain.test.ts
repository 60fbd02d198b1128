/** The `explain` command, including log files with damaged lines and lines of other programs. */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { RESULT_CODES } from '@bilberrystall/base'
import { Harness } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { cli } from './operator-stub'

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

const formatLogLine = (second: number, node: string, event: string, fields: object = {}): string =>
  JSON.stringify({ time: `2026-03-17T22:28:${second}.000Z`, level: 'info', code: 0, event, node, ...fields })

const ENTRY_1 = [
  formatLogLine(10, 'entry-1', 'node-started', { roles: ['entry'] }),
  formatLogLine(11, 'entry-1', 'document-in-force', { environment: 'production', revision: 12 }),
  formatLogLine(20, 'entry-1', 'document-in-force', { environment: 'production', revision: 13 }),
  formatLogLine(21, 'entry-1', 'server-joined', { server: 'production/booking/b1', state: 'ready' }),
  formatLogLine(22, 'entry-1', 'server-joined', { server: 'production/booking/b2', state: 'ready' }),
  formatLogLine(30, 'entry-1', 'call-failed', {
    result: 'connectionLost',
    attempt: '9c41',
    route: 'book',
    service: 'booking',
    servers: ['production/booking/b1'],
    ms: 1500,
  }),
  formatLogLine(33, 'entry-1', 'document-in-force', { environment: 'production', revision: 14 }),
]
const ENTRY_2 = [
  formatLogLine(31, 'entry-2', 'server-ejected', { server: 'production/booking/b1', reason: 'failing' }),
  formatLogLine(50, 'entry-2', 'server-left', { server: 'production/booking/b1', state: 'ready' }),
]

async function logFile(name: string, lines: readonly string[]): Promise<string> {
  const path = join(harness.folder, name)
  await writeFile(path, `${lines.join('\n')}\n`)
  return path
}

test('a failed call is explained from the logs of several nodes', async () => {
  const files = [await logFile('entry-2.log', ENTRY_2), await logFile('entry-1.log', ENTRY_1)]
  const explained = await cli('explain', '9c41', ...files)
  expect(explained.status).toBe(0)
  await expect(explained.stdout).toMatchFileSnapshot('golden/explain.txt')
})

/** Guards against a refused response that is lost among the events of its server, or shown with another call. */
test('the responses to the call that its node refused are shown with the call', async () => {
  const refused = (node: string, attempt: string) =>
    formatLogLine(29, node, 'response-refused', {
      server: 'production/booking/b1',
      reason: 'other-attempt',
      received: '635a',
      connection: 40_001,
      requests: 3,
      attempt,
    })
  const others = [refused('entry-1', '77aa'), refused('entry-2', '9c41')]
  const explained = await cli(
    'explain',
    '9c41',
    await logFile('e.log', [...ENTRY_1, refused('entry-1', '9c41'), ...others]),
  )
  await expect(explained.stdout).toMatchFileSnapshot('golden/explain-refused.txt')
})

test('truncated, damaged and foreign lines are skipped and counted, prefixes of collectors are ignored', async () => {
  const foreign = ['{"time":"2026-03', 'started', '{"time":"yesterday","event":"x","node":"n"}', '[1]']
  const prefixed = ENTRY_1.map((text) => `  36.16 entry-1 ${text}`)
  const explained = await cli('explain', '9c41', await logFile('mixed.log', [...foreign, ...prefixed]))
  expect(explained.stderr).toContain('skipped 4 lines that are not log lines')
  expect(explained.stdout).toContain('connectionLost after 1500 ms')
  expect(explained.stdout).toContain('revision=13')
  expect(explained.stdout).not.toContain('revision=14')
})

test('an unknown attempt and an unreadable file have their own exit statuses', async () => {
  const file = await logFile('entry-1.log', ENTRY_1)
  expect((await cli('explain', 'other', file)).status).toBe(RESULT_CODES.notFound.number)
  expect((await cli('explain', '9c41', join(harness.folder, 'none'))).status).toBe(RESULT_CODES.fileUnreadable.number)
})
