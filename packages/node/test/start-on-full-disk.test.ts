/** Guards against a node that ends during its start because its disk is full, and ends again after each restart. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { FakeFileSystem } from '../../storage/test/fake-file-system'
import { startNode, type RunningNode } from '../src/index'
import { waitUntil } from './control-cluster'
import { singleNodeSettings, type SingleNodeSettings } from './node-settings'

const silentLog = { info: () => undefined, warn: () => undefined, error: () => undefined }

let folder: string
let settings: SingleNodeSettings
const running: RunningNode[] = []

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'bilberrystall-full-disk-'))
  settings = await singleNodeSettings(folder)
})

afterEach(async () => {
  for (const node of running.splice(0)) await node.stop()
  await rm(folder, { recursive: true, force: true })
})

async function start(fileSystem: FakeFileSystem, onStopRequired = vi.fn()): Promise<RunningNode> {
  const node = (await startNode(settings, { log: silentLog, fileSystem, onStopRequired }))._unsafeUnwrap()
  running.push(node)
  return node
}

async function operatorStatus(): Promise<number | undefined> {
  return fetch(`http://${settings.control.listen}/v1/environments`).then(
    ({ status }) => status,
    () => undefined,
  )
}

/** A disk that holds the log of a node, as it is after a loss of power. */
async function usedDisk(): Promise<FakeFileSystem> {
  const disk = new FakeFileSystem()
  const node = await start(disk)
  await waitUntil(() => (disk.syncs > 4 ? true : undefined))
  await node.stop()
  running.pop()
  return disk.afterPowerLoss()
}

test.each([
  ['holds a log', usedDisk],
  ['is empty', () => Promise.resolve(new FakeFileSystem())],
] as const)(
  'a node starts on a full disk that %s, and its replica opens once there is room',
  async (_name, prepare) => {
    const disk = await prepare()
    disk.fault = 'full'
    const onStopRequired = vi.fn()
    await start(disk, onStopRequired)
    const health = await fetch(`http://${settings.statusListen}/health`)
    expect({ health: health.status, operators: await operatorStatus() }).toEqual({ health: 503, operators: undefined })
    disk.fault = undefined
    await expect.poll(operatorStatus, { timeout: 10_000 }).toBe(401)
    expect(onStopRequired).not.toHaveBeenCalled()
  },
)

test('a node that waits for room stops', async () => {
  const disk = new FakeFileSystem()
  disk.fault = 'full'
  const node = await start(disk)
  expect(await node.stop()).toBe('ok')
})
