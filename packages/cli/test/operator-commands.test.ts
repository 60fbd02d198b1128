import { createHash } from 'node:crypto'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { RESULT_CODES, failure, toProblem, type CodeName } from '@bilberrystall/base'
import { freePort, Harness } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { EXAMPLE_DOCUMENT } from '../src/example'
import {
  cli,
  respondJson,
  startOperatorStub,
  type CliResult,
  type OperatorStub,
  type RequestHandler,
} from './operator-stub'

let harness: Harness
let file: string
let keyFile: string

beforeEach(async () => {
  harness = await Harness.create()
  file = join(harness.folder, 'document.ini')
  keyFile = join(harness.folder, 'operator.key')
  await writeFile(file, EXAMPLE_DOCUMENT)
  await writeFile(keyFile, 'the operator key\n')
})

afterEach(() => harness.end())

async function startStub(handle: RequestHandler): Promise<OperatorStub> {
  const started = await startOperatorStub(handle)
  harness.onEnd(started.stop)
  return started
}

function submit(node: string, ...rest: string[]): Promise<CliResult> {
  return cli('document', 'submit', file, '--base', '4', '--node', node, '--key-file', keyFile, ...rest)
}

function rejectWith(code: CodeName): RequestHandler {
  return (_request, response) => {
    respondJson(response, RESULT_CODES[code].status, { ...toProblem(failure(code)), currentRevision: 7 })
  }
}

test('a change whose response is lost is sent again with the same change id', async () => {
  let requestCount = 0
  const node = await startStub((_request, response) => {
    requestCount += 1
    if (requestCount <= 2) response.destroy()
    else respondJson(response, 200, { kind: 'accepted', revision: 5, digest: 'a'.repeat(64) })
  })
  const result = await submit(node.address, '--json')
  expect(result.status).toBe(0)
  const { changeId, revision } = JSON.parse(result.stdout) as { changeId: string; revision: number }
  expect(revision).toBe(5)
  expect(node.requests.map(({ body }) => body.changeId)).toEqual([changeId, changeId, changeId])
  expect(node.requests[0]).toMatchObject({
    authorization: 'Bearer the operator key',
    body: { kind: 'submit', baseRevision: 4 },
  })
})

test('the change is sent to the next node if one does not respond', async () => {
  const node = await startStub((_request, response) => {
    respondJson(response, 200, { kind: 'accepted', revision: 5, digest: 'a'.repeat(64) })
  })
  expect((await submit(`127.0.0.1:${await freePort()},${node.address}`)).status).toBe(0)
})

test('an unknown result is reported with the change id to repeat', async () => {
  const node = await startStub(rejectWith('changeUnknown'))
  const result = await submit(node.address, '--change-id', 'change-1', '--limit', '0s')
  expect(result.status).toBe(RESULT_CODES.changeUnknown.number)
  expect(result.stderr).toContain('--change-id change-1')
})

test('a change that did not reach any node is not reported as unknown', async () => {
  const result = await submit(`127.0.0.1:${await freePort()}`, '--limit', '0s')
  expect(result.status).toBe(RESULT_CODES.nodeUnreachable.number)
})

test('a change is not reported as unknown if every response says that it was not applied', async () => {
  const node = await startStub(rejectWith('noQuorum'))
  expect((await submit(node.address, '--limit', '0s')).status).toBe(RESULT_CODES.noQuorum.number)
})

test('a rejected change is not sent again and its result code becomes the exit status', async () => {
  const node = await startStub(rejectWith('revisionConflict'))
  expect((await submit(node.address)).status).toBe(RESULT_CODES.revisionConflict.number)
  expect(node.requests).toHaveLength(1)
})

test('an invalid document is not sent', async () => {
  await writeFile(file, EXAMPLE_DOCUMENT.replace('service = booking', 'service = bookings'))
  const node = await startStub(rejectWith('internal'))
  const result = await submit(node.address)
  expect(result.status).toBe(RESULT_CODES.documentInvalid.number)
  expect(result.stderr).toContain('[route.book-visit] service: names no section [service.bookings]')
  expect(node.requests).toHaveLength(0)
})

test('a promotion contains the revision and the digest of the document in trial', async () => {
  const trialDocument = { revision: 3, digest: 'b'.repeat(64), at: 0, requester: 'asha', changeId: 'c' }
  const node = await startStub((request, response) => {
    if (request.method === 'GET') respondJson(response, 200, { documents: [trialDocument] })
    else respondJson(response, 200, { revision: 1, digest: trialDocument.digest })
  })
  const options = ['--node', node.address, '--key-file', keyFile]
  expect((await cli('document', 'promote', '--base', '0', ...options)).status).toBe(0)
  expect(node.requests.at(-1)?.body).toMatchObject({ kind: 'promote', sourceRevision: 3, digest: trialDocument.digest })
})

test('audit --verify verifies the chain across pages and detects a changed record', async () => {
  const chain: Record<string, unknown>[] = []
  let previous = '0'.repeat(64)
  for (let sequence = 1; sequence <= 4; sequence += 1) {
    const record = {
      sequence,
      previous,
      at: sequence,
      operation: 'submit',
      requester: 'asha',
      source: 'x',
      result: 'ok',
    }
    previous = createHash('sha256').update(JSON.stringify(record)).digest('hex')
    chain.unshift(record)
  }
  const node = await startStub((request, response) => {
    if (request.path.includes('before=3')) respondJson(response, 200, { records: chain.slice(2) })
    else respondJson(response, 200, { records: chain.slice(0, 2), next: 3 })
  })
  const options = ['--node', node.address, '--key-file', keyFile]
  const intact = await cli('audit', '--verify', ...options)
  expect(intact).toMatchObject({ status: 0, stdout: `4 records, chain intact, head ${previous}\n` })
  chain[2] = { ...chain[2], requester: 'other' }
  expect((await cli('audit', '--verify', ...options)).status).toBe(RESULT_CODES.logDamaged.number)
})

test('an evacuation is started, listed and ended by the name of the failure domain', async () => {
  const domains = [{ domain: 'eu/1', at: 0, requester: 'asha' }]
  const node = await startStub(({ method }, response) => {
    respondJson(response, 200, method === 'GET' ? { domains } : {})
  })
  const run = (...args: string[]) => cli('evacuation', ...args, '--node', node.address, '--key-file', keyFile)
  expect(await run('start', 'eu/1')).toMatchObject({ status: 0, stdout: 'failure domain eu/1 is evacuated\n' })
  const listed = await run()
  expect(listed.status).toBe(0)
  expect(listed.stdout).toMatch(/^DOMAIN +SINCE +REQUESTER\neu\/1 +1970-01-01T00:00:00.*asha\n$/)
  expect(await run('end', 'eu/1')).toMatchObject({ status: 0, stdout: 'failure domain eu/1 is used again\n' })
  expect(node.requests.map(({ method, path }) => `${method} ${path}`)).toEqual([
    'POST /v1/evacuations/eu%2F1/start',
    'GET /v1/evacuations',
    'POST /v1/evacuations/eu%2F1/end',
  ])
})

test('an order that control refuses ends with its code', async () => {
  const node = await startStub(rejectWith('evacuationLimit'))
  const result = await cli('evacuation', 'start', 'fd-1', '--node', node.address, '--key-file', keyFile)
  expect(result.status).toBe(RESULT_CODES.evacuationLimit.number)
})
