/** Guards against a node that ends at each start, or stops serving callers, because its replica cannot use its disk. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { CodeName } from '@bilberrystall/base'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { FakeFileSystem } from '../../storage/test/fake-file-system'
import { startNode, type RunningNode } from '../src/index'
import { OPERATOR_KEY, singleNodeSettings, type SingleNodeSettings } from './node-settings'

const POLL = { timeout: 10_000 }
const SEGMENT = 'log-0000000000000001'

let folder: string
let settings: SingleNodeSettings
let logged: CodeName[]
const onStopRequired = vi.fn()
const running: RunningNode[] = []

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'bilberrystall-damaged-log-'))
  settings = await singleNodeSettings(folder)
  logged = []
  onStopRequired.mockReset()
})

afterEach(async () => {
  for (const node of running.splice(0)) await node.stop()
  await rm(folder, { recursive: true, force: true })
})

async function start(fileSystem: FakeFileSystem): Promise<RunningNode> {
  const write = (code: CodeName): void => {
    logged.push(code)
  }
  const log = { info: write, warn: write, error: write }
  const node = (await startNode(settings, { log, fileSystem, onStopRequired }))._unsafeUnwrap()
  running.push(node)
  return node
}

async function stop(node: RunningNode): Promise<void> {
  running.splice(running.indexOf(node), 1)
  await node.stop()
}

async function metric(name: string): Promise<number> {
  const text = await (await fetch(`http://${settings.statusListen}/metrics`)).text()
  return Number(new RegExp(`^bilberrystall_${name} (.*)$`, 'm').exec(text)?.[1])
}

/** Returns a disk with the log of a replica that has led a cluster, with one damaged byte in its first frame. */
async function damagedDisk(): Promise<FakeFileSystem> {
  const disk = new FakeFileSystem()
  const node = await start(disk)
  await expect.poll(() => metric('control_leader'), POLL).toBe(1)
  await stop(node)
  damage(disk)
  logged = []
  return disk
}

function damage(disk: FakeFileSystem): void {
  const path = `${folder}/${SEGMENT}`
  const content = Buffer.from(disk.content(path))
  content[40] = content[40]! ^ 0xff
  disk.files.set(path, content)
}

function fileNames(disk: FakeFileSystem): string[] {
  return [...disk.files.keys()].map((path) => path.slice(folder.length + 1)).toSorted()
}

test('a node whose log is damaged starts, keeps the damaged files and opens a new replica', async () => {
  const disk = await damagedDisk()
  const damagedFiles = fileNames(disk)
  await start(disk)
  expect(fileNames(disk)).toEqual([...damagedFiles.map((name) => `damaged-${name}`), 'disk.json', SEGMENT].toSorted())
  expect(logged.slice(0, 2)).toEqual(['logDamaged', 'logSetAside'])
  expect(await metric('control_replica_open')).toBe(1)
  expect(onStopRequired).not.toHaveBeenCalled()
})

test('a replica that replaces a damaged one never bootstraps a second cluster, also after a restart', async () => {
  const disk = await damagedDisk()
  await stop(await start(disk))
  await start(disk)
  await new Promise((resolve) => setTimeout(resolve, 1_500))
  expect(await metric('control_leader')).toBe(0)
  expect(await metric('control_commit_index')).toBe(0)
})

test('a node whose second log is damaged too serves without a replica and keeps both', async () => {
  const disk = await damagedDisk()
  await stop(await start(disk))
  damage(disk)
  const names = fileNames(disk)
  await start(disk)
  expect(await metric('control_replica_open')).toBe(0)
  expect((await fetch(`http://${settings.statusListen}/health`)).status).toBe(503)
  expect(fileNames(disk)).toEqual(names)
  expect(onStopRequired).not.toHaveBeenCalled()
})

test('a setting aside that a power loss interrupts is continued at the next start', async () => {
  const disk = await damagedDisk()
  await disk.rename(`${folder}/disk.json`, `${folder}/damaged-disk.json`)
  await start(disk)
  expect(fileNames(disk)).toContain(`damaged-${SEGMENT}`)
  expect(await metric('control_replica_open')).toBe(1)
})

test('a log of an unknown version is not touched, and the node serves without a replica', async () => {
  const disk = await damagedDisk()
  disk.files.set(`${folder}/disk.json`, Buffer.from('{"format":99,"disk":"x"}'))
  const names = fileNames(disk)
  await start(disk)
  expect(await metric('control_replica_open')).toBe(0)
  expect(logged).toContain('formatUnknown')
  expect(fileNames(disk)).toEqual(names)
})

test('a replica whose sync fails closes without ending the node, and opens again with the same disk', async () => {
  const disk = new FakeFileSystem()
  await start(disk)
  await expect.poll(() => metric('control_leader'), POLL).toBe(1)
  const diskId = disk.content(`${folder}/disk.json`).toString()
  disk.fault = 'sync'
  await submitChange()
  await expect.poll(() => metric('control_replica_open'), POLL).toBe(0)
  disk.fault = undefined
  await expect.poll(() => metric('control_leader'), POLL).toBe(1)
  expect(disk.content(`${folder}/disk.json`).toString()).toBe(diskId)
  expect(logged).toContain('syncFailed')
  expect(onStopRequired).not.toHaveBeenCalled()
})

/** Any request that leaves an audit record makes the replica write. */
async function submitChange(): Promise<void> {
  await fetch(`http://${settings.control.listen}/v1/changes`, {
    method: 'POST',
    headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' },
    body: '{}',
    signal: AbortSignal.timeout(3_000),
  }).catch(() => undefined)
}
