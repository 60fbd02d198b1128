/**
 * Measures the write-ahead log on a real disk: time of one synced append, appends per second in batches, restart with
 * 2,000 changes, and the delay of a 100 ms timer while syncs run. Arguments: the folder to use, and the seed.
 */
import { randomInt } from 'node:crypto'
import { mkdtemp, rm } from 'node:fs/promises'
import { join } from 'node:path'
import { environmentName, logIndex, revision, seededRandom, term } from '@bilberrystall/base'
import {
  applyCommand,
  decodeCommand,
  emptyState,
  encodeCommand,
  decodeSnapshot,
  encodeSnapshot,
  type SubmitCommand,
} from '@bilberrystall/control'
import { openLog, type LogRecord, type OpenedLog } from '@bilberrystall/storage'
import { build } from 'hdr-histogram-js'

const HEARTBEAT_MS = 100
const CHANGES = 2_000
const DOCUMENT_BYTES = 2_000

const [folder = '/tmp', seedText] = process.argv.slice(2)
const seed = Number(seedText ?? randomInt(1_000_000))
const random = seededRandom(seed)

function createChange(index: number): SubmitCommand {
  const text = Array.from({ length: DOCUMENT_BYTES }, () => String.fromCharCode(97 + Math.floor(random() * 26))).join(
    '',
  )
  return {
    kind: 'submit',
    at: index,
    requester: 'bench',
    source: '127.0.0.1',
    changeId: `change-${index}`,
    environment: environmentName('trial'),
    baseRevision: revision(index - 1),
    content: { validity: 'valid', text },
  }
}

const toLogRecord = (index: number, data: Uint8Array): LogRecord => ({
  kind: 'entry',
  entry: { index: logIndex(index), term: term(1), data },
})

async function openLogIn(path: string): Promise<OpenedLog> {
  return (await openLog({ folder: path }))._unsafeUnwrap()
}

function print(name: string, value: string): void {
  process.stdout.write(`${name.padEnd(44)} ${value}\n`)
}

const path = await mkdtemp(join(folder, 'bilberrystall-bench-'))
const commands = Array.from({ length: CHANGES }, (_, index) => encodeCommand(createChange(index + 1)))
let { log } = await openLogIn(path)

const timerDelays = build()
let expectedAt = performance.now() + HEARTBEAT_MS
const heartbeat = setInterval(() => {
  timerDelays.recordValue(Math.max(0, Math.round((performance.now() - expectedAt) * 1_000)))
  expectedAt = performance.now() + HEARTBEAT_MS
}, HEARTBEAT_MS)

const syncTimes = build()
let index = 0
for (const data of commands.slice(0, CHANGES / 2)) {
  index += 1
  const start = performance.now()
  ;(await log.append([toLogRecord(index, data)]))._unsafeUnwrap()
  syncTimes.recordValue(Math.round((performance.now() - start) * 1_000))
}
print('seed', String(seed))
const formatMilliseconds = (value: number) => `${(value / 1_000).toFixed(2)} ms`
print(
  'one append with sync, p50 / p99 / max',
  [syncTimes.getValueAtPercentile(50), syncTimes.getValueAtPercentile(99), syncTimes.maxValue]
    .map(formatMilliseconds)
    .join(' / '),
)

const start = performance.now()
const batchedAppends = commands
  .slice(CHANGES / 2)
  .map((data, offset) => log.append([toLogRecord(index + offset + 1, data)]))
for (const result of await Promise.all(batchedAppends)) result._unsafeUnwrap()
print(
  'appends per second in batches',
  String(Math.round((batchedAppends.length * 1_000) / (performance.now() - start))),
)
clearInterval(heartbeat)
print(
  'lateness of a 100 ms timer, p50 / max',
  [timerDelays.getValueAtPercentile(50), timerDelays.maxValue].map(formatMilliseconds).join(' / '),
)
await log.close()

const restartStart = performance.now()
const reopened = await openLogIn(path)
log = reopened.log
const state = emptyState()
for (const { data } of reopened.stored.entries) applyCommand(state, decodeCommand(data)._unsafeUnwrap())
print(
  `restart with ${reopened.stored.entries.length} changes in the log`,
  `${(performance.now() - restartStart).toFixed(0)} ms`,
)

for (let refusal = 0; refusal < 48_000; refusal += 1)
  applyCommand(state, { ...createChange(1), changeId: `refused-${refusal % 9_000}` })
const snapshotStart = performance.now()
const bytes = encodeSnapshot(state)
const snapshotTime = performance.now() - snapshotStart
const restoreStart = performance.now()
decodeSnapshot(bytes)._unsafeUnwrap()
const restoreTime = performance.now() - restoreStart
print(
  'snapshot with 50,000 audit records and 10,000 results',
  `${(bytes.byteLength / 1024 / 1024).toFixed(1)} MiB, taken in ${snapshotTime.toFixed(0)} ms, restored in ${restoreTime.toFixed(0)} ms`,
)
await log.close()
await rm(path, { recursive: true })
