import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ok } from 'neverthrow'
import { expect, test } from 'vitest'
import { logIndex, replicaId, term } from '@bilberrystall/base'
import { lockFolder, openLog, type FileSystem, type LogRecord, type OpenedLog } from '../src/index'
import { FakeFileSystem } from './fake-file-system'

const FOLDER = '/data'
const noLock = () => Promise.resolve(ok({ release: () => Promise.resolve() }))

const entry = (index: number, entryTerm = 1, size = 3): LogRecord => ({
  kind: 'entry',
  entry: { index: logIndex(index), term: term(entryTerm), data: Buffer.alloc(size, index) },
})
const ballot = (entryTerm: number): LogRecord => ({
  kind: 'ballot',
  ballot: { term: term(entryTerm), votedFor: replicaId('a') },
})
const snapshot = (index: number, entryTerm = 1) => ({
  index: logIndex(index),
  term: term(entryTerm),
  data: Buffer.from(`state at ${index}`),
})

function open(fileSystem: FileSystem) {
  return openLog({ folder: FOLDER, fileSystem, lock: noLock })
}

async function openOrThrow(fileSystem: FileSystem): Promise<OpenedLog> {
  return (await open(fileSystem))._unsafeUnwrap()
}

const indexes = ({ stored }: OpenedLog): number[] => stored.entries.map(({ index }) => index)

/** Creates a log with five batches, each synced before the next is written. */
async function createSmallLog(): Promise<FakeFileSystem> {
  const disk = new FakeFileSystem()
  const { log } = await openOrThrow(disk)
  for (const records of [[ballot(1)], [entry(1), entry(2)], [entry(3)], [ballot(2)], [entry(4, 2)]]) {
    expect((await log.append(records)).isOk()).toBe(true)
  }
  await log.close()
  return disk
}

test('synced records and the disk id survive a power loss', async () => {
  const disk = await createSmallLog()
  const before = await openOrThrow(disk)
  const after = await openOrThrow(disk.afterPowerLoss())
  expect(indexes(after)).toEqual([1, 2, 3, 4])
  expect(after.stored.ballot).toEqual({ term: 2, votedFor: 'a' })
  expect(after.stored.diskId).toBe(before.stored.diskId)
  expect((await openOrThrow(new FakeFileSystem())).stored.diskId).not.toBe(before.stored.diskId)
})

test('a log truncated at any byte recovers every complete batch before that byte, or fails to open', async () => {
  const intact = await createSmallLog()
  const path = `${FOLDER}/log-0000000000000001`
  const bytes = intact.content(path)
  let previous = 0
  for (let length = 0; length <= bytes.length; length += 1) {
    const truncated = intact.copy()
    truncated.files.set(path, bytes.subarray(0, length))
    const result = await open(truncated)
    if (result.isErr()) {
      expect(result.error.code).toBe('logDamaged')
      // Once the segment start is complete, a shorter log is a torn write and must never fail to open.
      expect(previous).toBe(0)
      continue
    }
    const count = result.value.stored.entries.length
    expect(indexes(result.value)).toEqual([1, 2, 3, 4].slice(0, count))
    expect(count).toBeGreaterThanOrEqual(previous)
    previous = count
  }
  expect(previous).toBe(4)
})

test('a log with a damaged byte either fails to open or recovers every synced entry', async () => {
  const intact = await createSmallLog()
  const path = `${FOLDER}/log-0000000000000001`
  const bytes = intact.content(path)
  let refused = 0
  for (let position = 0; position < bytes.length; position += 1) {
    for (const mask of [0x01, 0xff]) {
      const damaged = intact.copy()
      const content = Buffer.from(bytes)
      content[position] = (content[position] ?? 0) ^ mask
      damaged.files.set(path, content)
      const result = await open(damaged)
      if (result.isErr()) refused += 1
      expect(result.map(indexes).unwrapOr([1, 2, 3, 4])).toEqual([1, 2, 3, 4])
    }
  }
  // Only damage to the last marker (8 bytes) can be repaired.
  expect(refused).toBe(2 * (bytes.length - 8))
})

test('the message about a damaged log names the segment, the offset and what follows', async () => {
  const damaged = await createSmallLog()
  const path = `${FOLDER}/log-0000000000000001`
  const content = Buffer.from(damaged.content(path))
  content.fill(0, 62, 70)
  damaged.files.set(path, content)
  expect((await open(damaged))._unsafeUnwrapErr().message).toMatchInlineSnapshot(
    `"the last segment 1 of 228 bytes cannot be read from offset 58 for 21 bytes"`,
  )
})

/** Creates a log of two segments whose last frame has its marker. */
async function createTwoSegments(): Promise<FakeFileSystem> {
  const disk = new FakeFileSystem()
  const { log } = await openOrThrow(disk)
  for (const records of [[ballot(1)], [entry(1, 1, 70_000)], [entry(2)]]) await log.append(records)
  await log.compact(logIndex(0))
  for (const records of [[entry(3)], [ballot(2)], [entry(4, 2)]]) await log.append(records)
  await log.close()
  return disk
}

const FIRST_SEGMENT = `${FOLDER}/log-0000000000000001`
const LAST_SEGMENT = `${FOLDER}/log-0000000000000002`
const MARKER_BYTES = 8

test('a log opens if the marker before its last frame was lost with the power, and the marker is written again', async () => {
  const intact = await createTwoSegments()
  const bytes = intact.content(LAST_SEGMENT)
  const lastFrame = bytes.lastIndexOf(Buffer.from([0xb5, 0x46, 0x52, 0x01]))
  const unsyncedEnd = bytes.subarray(0, -MARKER_BYTES)
  for (let torn = 0; torn <= MARKER_BYTES; torn += 1) {
    const disk = intact.copy()
    const content = Buffer.from(unsyncedEnd)
    content.fill(0, lastFrame - torn, lastFrame)
    disk.files.set(LAST_SEGMENT, content)
    expect(indexes(await openOrThrow(disk))).toEqual([1, 2, 3, 4])
    expect(disk.content(LAST_SEGMENT).equals(bytes)).toBe(true)
  }
})

test('a log opens if the marker at the end of a finished segment was lost with the power, and it is written again', async () => {
  const intact = await createTwoSegments()
  const bytes = intact.content(FIRST_SEGMENT)
  for (let length = 0; length <= MARKER_BYTES; length += 1) {
    for (const isZeroed of [false, true]) {
      const disk = intact.copy()
      const content = Buffer.from(isZeroed ? bytes : bytes.subarray(0, bytes.length - MARKER_BYTES + length))
      if (isZeroed) content.fill(0, bytes.length - MARKER_BYTES + length)
      disk.files.set(FIRST_SEGMENT, content)
      expect(indexes(await openOrThrow(disk))).toEqual([1, 2, 3, 4])
      expect(disk.content(FIRST_SEGMENT).equals(bytes)).toBe(true)
    }
  }
})

test('damage of synced bytes is never truncated, at any offset of any segment', async () => {
  const intact = await createTwoSegments()
  for (const path of [FIRST_SEGMENT, LAST_SEGMENT]) {
    const bytes = intact.content(path)
    // The last marker is not synced: damage of the last frame and of its marker together looks like a torn write.
    const synced = bytes.subarray(0, bytes.length - MARKER_BYTES)
    const positions = Array.from(synced.keys()).filter((at) => at < 300 || at > synced.length - 300 || at % 997 === 0)
    for (const position of positions) {
      for (const length of [1, 4, 30]) {
        const disk = intact.copy()
        const content = Buffer.from(bytes)
        for (let at = position; at < Math.min(synced.length, position + length); at += 1)
          content[at] = content[at]! ^ 0x5a
        disk.files.set(path, content)
        const result = await open(disk)
        expect(result.map(indexes).unwrapOr([1, 2, 3, 4])).toEqual([1, 2, 3, 4])
        expect(result.map(({ stored }) => stored.ballot.term).unwrapOr(2)).toBe(2)
      }
    }
  }
})

test('a torn batch is truncated completely and appends continue after it', async () => {
  const disk = await createSmallLog()
  const path = `${FOLDER}/log-0000000000000001`
  const torn = disk.copy()
  const { log } = await openOrThrow(torn)
  await log.append([entry(5, 2, 100), entry(6, 2, 100)])
  const bytes = torn.content(path)
  // The end of the batch reached the disk, its middle did not, and the sync never returned.
  bytes.fill(0, bytes.length - 150, bytes.length - 100)
  torn.files.set(path, bytes.subarray(0, bytes.length - 8))
  const repaired = await openOrThrow(torn)
  expect(indexes(repaired)).toEqual([1, 2, 3, 4])
  await repaired.log.append([entry(5, 3)])
  expect(indexes(await openOrThrow(torn))).toEqual([1, 2, 3, 4, 5])
})

test('after a failed sync every further operation fails and synced entries are kept', async () => {
  const disk = new FakeFileSystem()
  const { log } = await openOrThrow(disk)
  await log.append([entry(1)])
  disk.fault = 'sync'
  expect((await log.append([entry(2)]))._unsafeUnwrapErr().code).toBe('syncFailed')
  disk.fault = undefined
  expect((await log.append([entry(2)]))._unsafeUnwrapErr().code).toBe('syncFailed')
  expect((await log.saveSnapshot(snapshot(1)))._unsafeUnwrapErr().code).toBe('syncFailed')
  expect(indexes(await openOrThrow(disk.afterPowerLoss()))).toEqual([1])
})

test('a batch whose sync failed is written and synced again on recovery', async () => {
  const disk = new FakeFileSystem()
  const { log } = await openOrThrow(disk)
  await log.append([entry(1)])
  disk.fault = 'sync'
  await log.append([entry(2)])
  disk.fault = undefined
  expect(indexes(await openOrThrow(disk))).toEqual([1, 2])
  expect(indexes(await openOrThrow(disk.afterPowerLoss()))).toEqual([1, 2])
})

test('a marker lost in a failed sync is written again, so that the log is not reported as damaged', async () => {
  const disk = new FakeFileSystem()
  const { log } = await openOrThrow(disk)
  await log.append([entry(1)])
  disk.fault = 'sync'
  await log.append([entry(2)])
  disk.fault = undefined
  const path = `${FOLDER}/log-0000000000000001`
  disk.files.set(path, disk.content(path).subarray(0, -1))
  const repaired = await openOrThrow(disk)
  await repaired.log.append([entry(2)])
  expect(indexes(await openOrThrow(disk.afterPowerLoss()))).toEqual([1, 2])
})

test('the rest of a short write is written', async () => {
  const disk = new FakeFileSystem()
  disk.writeLimit = 7
  const { log } = await openOrThrow(disk)
  await log.append([entry(1, 1, 100)])
  expect(indexes(await openOrThrow(disk.afterPowerLoss()))).toEqual([1])
})

test('appends of one turn of the event loop share one sync', async () => {
  const disk = new FakeFileSystem()
  const { log } = await openOrThrow(disk)
  const before = disk.syncs
  await Promise.all(Array.from({ length: 50 }, (_, index) => log.append([entry(index + 1)])))
  expect(disk.syncs - before).toBe(1)
})

test('an entry with a later term replaces the entries from its index on', async () => {
  const disk = await createSmallLog()
  const { log } = await openOrThrow(disk)
  await log.append([entry(3, 3)])
  const { stored } = await openOrThrow(disk)
  expect(stored.entries.map(({ index, term: entryTerm }) => [index, entryTerm])).toEqual([
    [1, 1],
    [2, 1],
    [3, 3],
  ])
})

test('compaction removes covered segments and keeps the ballot, the snapshot and the entries after it', async () => {
  const disk = new FakeFileSystem()
  const { log } = await openOrThrow(disk)
  await log.append([ballot(1)])
  for (let index = 1; index <= 12; index += 1) await log.append([entry(index, 1, 1024 * 1024)])
  await log.saveSnapshot(snapshot(10))
  await log.compact(logIndex(10))
  const after = await openOrThrow(disk.afterPowerLoss())
  expect(after.stored.snapshot?.data.toString()).toBe('state at 10')
  expect(after.stored.ballot).toEqual({ term: 1, votedFor: 'a' })
  expect(indexes(after).at(-1)).toBe(12)
  expect(indexes(after)[0]).toBeGreaterThan(1)
  expect(indexes(after)[0]).toBeLessThanOrEqual(11)
})

test('an installed snapshot replaces the log, even if the process ends before the log is reset', async () => {
  const disk = await createSmallLog()
  const { log } = await openOrThrow(disk)
  await log.saveSnapshot(snapshot(9, 3))
  const interrupted = await openOrThrow(disk.copy())
  expect(indexes(interrupted)).toEqual([])
  await interrupted.log.append([entry(10, 3)])
  await log.installSnapshot(snapshot(20, 3))
  await log.append([entry(21, 3)])
  const after = await openOrThrow(disk.afterPowerLoss())
  expect(after.stored.snapshot?.index).toBe(20)
  expect(indexes(after)).toEqual([21])
})

test('a missing segment, a damaged snapshot and an unknown format fail with their result codes', async () => {
  const disk = new FakeFileSystem()
  const { log } = await openOrThrow(disk)
  for (let index = 1; index <= 12; index += 1) await log.append([entry(index, 1, 1024 * 1024)])
  await log.saveSnapshot(snapshot(2))
  const cases = [
    ['log-0000000000000002', undefined, 'logDamaged'],
    ['log-0000000000000001', undefined, 'logDamaged'],
    ['disk.json', undefined, 'logDamaged'],
    ['disk.json', '{"format":2,"disk":"x"}', 'formatUnknown'],
    ['snapshot-0000000000000002', 'short', 'snapshotDamaged'],
  ] as const
  for (const [name, content, code] of cases) {
    const damaged = disk.copy()
    if (content === undefined) damaged.files.delete(`${FOLDER}/${name}`)
    else damaged.files.set(`${FOLDER}/${name}`, Buffer.from(content))
    expect((await open(damaged))._unsafeUnwrapErr().code).toBe(code)
  }
})

test('a data folder on a real disk cannot be opened again until the log is closed', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'bilberrystall-log-'))
  const first = (await openLog({ folder }))._unsafeUnwrap()
  expect((await openLog({ folder }))._unsafeUnwrapErr().code).toBe('folderInUse')
  await first.log.append([entry(1)])
  await first.log.close()
  const second = (await openLog({ folder }))._unsafeUnwrap()
  expect(indexes(second)).toEqual([1])
  await second.log.close()
  await rm(folder, { recursive: true })
  expect((await lockFolder(folder))._unsafeUnwrapErr().code).toBe('folderUnusable')
})
