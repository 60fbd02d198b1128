import { readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { RESULT_CODES } from '@bilberrystall/base'
import {
  Cluster,
  Harness,
  normalise,
  sendCall,
  Transcript,
  workloadDocument,
  READS,
  type ProcessResult,
} from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { entryNode, startCluster } from './fixture'

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('first start of the embedded default: submit to trial, then promote', async () => {
  const cluster = await Cluster.create(harness)
  await cluster.add({ name: 'first', roles: 'entry, control', environment: 'production', bootstrap: true })
  const node = cluster.node('first')
  await node.start()
  const transcript = new Transcript()
  const runCommands = async (...lines: string[]): Promise<void> => {
    for (const line of lines) await cluster.runCommand(line.split(' '), { transcript })
  }
  await writeFile(join(harness.folder, 'document.ini'), workloadDocument())
  await runCommands(
    'settings check first.ini',
    'document check document.ini',
    'document show --environment trial',
    'document promote --environment production',
    'document submit document.ini --environment trial',
    'document status --environment trial --wait 11s',
    'document promote --environment production',
    'document status --environment production --wait 11s',
    'document history --environment production',
  )
  await node.waitUntilHealthy()
  await cluster.startFakeServer({ service: 'site-history', server: 'history-1' })
  await cluster.waitUntilServersKnown(1)
  expect(await sendCall(node.addresses.callers, READS[0] ?? { method: 'GET', path: '/' })).toMatchObject({
    outcome: 'complete',
    server: 'history-1',
  })
  await runCommands(
    'servers',
    'nodes',
    'document submit document.ini --environment trial --base 0',
    'audit',
    'audit --verify',
  )
  await cluster.runCommand(['status'], { transcript, key: 'node.key' })
  node.runningProcess.signal('SIGTERM')
  expect(await node.runningProcess.waitForExit()).toBe(0)
  const text = transcript.toText({ replace: { [harness.folder]: '<folder>' } })
  await expect(text).toMatchFileSnapshot('golden/first-start.txt')
})

test('the log of a node that starts and stops has one line for each change of state', async () => {
  const cluster = await startCluster(harness, [
    { ...entryNode(1), name: 'first', roles: 'entry, control', bootstrap: true },
  ])
  const { runningProcess } = cluster.node('first')
  runningProcess.signal('SIGTERM')
  expect(await runningProcess.waitForExit()).toBe(0)
  const lines = runningProcess.stderr
    .trim()
    .split('\n')
    .map((line) => JSON.parse(line) as { code: number; event: string })
  const codes = new Set<number>(Object.values(RESULT_CODES).map((code) => code.number))
  for (const line of lines) expect(codes).toContain(line.code)
  await expect(normalise(runningProcess.stderr)).toMatchFileSnapshot('golden/node-log.txt')
})

test('of two concurrent changes with the same base revision one is refused with revision-conflict', async () => {
  const cluster = await startCluster(harness, [{ name: 'control-1', roles: 'control', bootstrap: true }])
  const submit = async (title: string, key: string): Promise<ProcessResult> => {
    await writeFile(join(harness.folder, `${title}.ini`), workloadDocument(title))
    return cluster.runCommand(['document', 'submit', `${title}.ini`, '--environment', 'production', '--base', '1'], {
      key,
    })
  }
  const results = await Promise.all([submit('asha', 'operator.key'), submit('marek', 'second.key')])
  const statuses = results.map((result) => Number(result.status)).sort((left, right) => left - right)
  expect(statuses).toEqual([RESULT_CODES.ok.number, RESULT_CODES.revisionConflict.number])
  const { documents } = (await cluster.runJsonCommand('document', 'history', '--environment', 'production')) as {
    documents: unknown[]
  }
  expect(documents).toHaveLength(2)
  const { records } = (await cluster.runJsonCommand('audit')) as { records: { requester: string; result: string }[] }
  expect(
    records
      .slice(0, 2)
      .map((record) => record.requester)
      .sort(),
  ).toEqual(['asha', 'marek'])
  expect(
    records
      .slice(0, 2)
      .map((record) => record.result)
      .sort(),
  ).toEqual(['ok', 'revision-conflict'])
})

test('a second process on the same data folder or address is refused with a code', async () => {
  const cluster = await startCluster(harness, [{ name: 'control-1', roles: 'control', bootstrap: true }])
  const first = cluster.node('control-1').runningProcess
  expect((await cluster.runCommand(['run', 'control-1.ini'])).status).toBe(RESULT_CODES.folderInUse.number)
  const settings = await readFile(join(harness.folder, 'control-1.ini'), 'utf8')
  await writeFile(join(harness.folder, 'copy.ini'), settings.replace('data-folder = data', 'data-folder = other'))
  expect((await cluster.runCommand(['run', 'copy.ini'])).status).toBe(RESULT_CODES.addressInUse.number)
  expect(first.isRunning).toBe(true)
})
