/** Guards against a refusal that an operator was told of and that the audit log then lacks. */
import { afterEach, beforeEach, expect, test } from 'vitest'
import { TestCluster, call, waitUntil } from './control-cluster'

let cluster: TestCluster

beforeEach(() => {
  cluster = new TestCluster()
})

afterEach(async () => {
  await cluster.close()
})

test.each([
  ['malformed change', '/v1/changes', { kind: 'submit' }],
  ['drain of a node that does not exist', '/v1/nodes/z/drain', {}],
  ['release of a request that is not withheld', '/v1/quarantine/AAAAAAAAAAAAAAAA/release', {}],
] as const)('the refusal of a %s is not reported while it cannot be recorded', async (_name, path, body) => {
  const options = { submitTimeoutMs: 300 }
  await cluster.start('a', { bootstrap: true, ...options })
  await cluster.start('b', options)
  await cluster.start('c', options)
  const leader = await cluster.waitForVoters()
  const refused = await call(leader, path, body)
  expect([400, 404]).toContain(refused.status)
  for (const member of [...cluster.members.values()]) if (member !== leader) await cluster.kill(member)
  // The code depends on whether the record was proposed before the leader stepped down.
  expect([53, 56]).toContain((await call(leader, path, body)).body.code)
})

test('a refusal that was reported is in the audit log of the next leader', async () => {
  await cluster.start('a', { bootstrap: true })
  await cluster.start('b')
  await cluster.start('c')
  const leader = await cluster.waitForVoters()
  expect(await call(leader, '/v1/changes', { kind: 'submit' })).toMatchObject({ status: 400 })
  await cluster.kill(leader)
  const next = await waitUntil(() => cluster.leader())
  const { body } = await call(next, '/v1/audit?requester=asha')
  expect(body).toMatchObject({ records: [{ operation: 'refuse', result: 'request-invalid' }] })
})
