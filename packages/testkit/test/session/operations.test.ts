import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { Harness, photoDownload, sendCall, Transcript, workloadDocument } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { entryNode, ONE_CONTROL, startCluster, startServers, waitUntilRunning } from './fixture'

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

// Guards the output that operators see in three everyday situations against unintended changes.
test('two operators with equal base revisions, a draining server, and the planned stop of an entry', async () => {
  const cluster = await startCluster(harness, [ONE_CONTROL, entryNode(1), entryNode(2)])
  const transcript = new Transcript()
  const operator = (line: string, key = 'operator.key') => cluster.runCommand(line.split(' '), { transcript, key })

  for (const title of ['asha', 'marek']) {
    await writeFile(join(harness.folder, `${title}.ini`), workloadDocument(title))
  }
  await operator('document submit asha.ini --environment production --base 1')
  await operator('document submit marek.ini --environment production --base 1', 'second.key')
  await operator('document status --environment production --wait 11s')

  const servers = await startServers(cluster, 'dispatch-archive', 2)
  await operator('servers')
  await servers[0]?.change({ state: 'draining' })
  await cluster.waitUntil('control lists the server as draining', async () => {
    const view = (await cluster.readApi('/v1/servers')) as { servers: { state: string }[] } | undefined
    return view?.servers.some((server) => server.state === 'draining')
  })
  await operator('servers')

  const [first] = cluster.entries
  const call = sendCall(first?.addresses.callers ?? '', {
    ...photoDownload(1000),
    path: '/photos/1?bytes=1000&ms=1500',
  })
  await waitUntilRunning(servers, 1)
  await operator('node drain entry-1')
  expect((await call).outcome).toBe('complete')
  expect(await first?.runningProcess.waitForExit()).toBe(0)
  await cluster.waitUntil('the entry has left', async () => {
    const view = (await cluster.readApi('/v1/nodes')) as { nodes: unknown[] } | undefined
    return view?.nodes.length === 2
  })
  await operator('nodes')
  await operator('audit')
  await operator('audit --verify')
  const text = transcript.toText({ replace: { [harness.folder]: '<folder>' } })
  await expect(text).toMatchFileSnapshot('golden/operations.txt')
})
