/**
 * Guards against a response that is lost although it was sent whole: an entry that closes a connection while requests of
 * the caller are unread resets it, and what the caller had not received yet is gone.
 */
import { connect, type Socket } from 'node:net'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import {
  APPOINTMENT_HOST,
  Harness,
  photoDigest,
  ResponseReader,
  sha256,
  type Cluster,
  type ReadResponse,
} from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { entryNode, ONE_CONTROL, startCluster, startServers } from './fixture'

const BALANCER_GRACE_MS = 2500
/** More than a caller's side buffers while it reads nothing, so that the rest waits at the entry. */
const BODY_BYTES = 1_000_000
const BEFORE_REQUEST_MS = 200
/** Connections, each with one large response. */
const CALLERS = 5
/** Time in which the entry hands the whole response over to its operating system. */
const NOT_READING_MS = 300
/** Time in which the further request reaches the entry. */
const CROSSING_MS = 100

let harness: Harness
let cluster: Cluster

beforeEach(async () => {
  harness = await Harness.create()
  cluster = await startCluster(harness, [
    ONE_CONTROL,
    { ...entryNode(1), balancerGrace: `${BALANCER_GRACE_MS}ms`, stopLimit: '3s' },
  ])
  await startServers(cluster, 'calendar', 1)
})

afterEach(() => harness.end())

test.each([
  ['its caller sends nothing more', 0],
  ['another request crosses it', 1],
])('a response that announces the close arrives whole if %s', async (_, crossing) => {
  const entry = cluster.node('entry-1')
  const sockets = await Promise.all(Array.from({ length: CALLERS }, () => openSocket(entry.addresses.callers)))
  entry.runningProcess.signal('SIGTERM')
  await sleep(BEFORE_REQUEST_MS)
  const received = await Promise.all(sockets.map((socket, index) => readLate(socket, `large-${index}`, crossing)))
  const digests = sockets.map((_, index) => photoDigest(`large-${index}`, BODY_BYTES))
  expect(received).toEqual(digests.map((digest) => ({ responses: [{ status: 200, digest, closes: true }], error: '' })))
})

async function openSocket(address: string): Promise<Socket> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  await once(socket, 'connect')
  return socket
}

/** Requests a large response, may send more requests before it reads anything, and then reads until the end. */
async function readLate(socket: Socket, requestId: string, crossing: number) {
  const reader = new ResponseReader()
  const responses: ReadResponse[] = []
  let error = ''
  socket.on('error', (cause: NodeJS.ErrnoException) => (error = cause.code ?? cause.message))
  socket.on('data', (part: Buffer) => {
    responses.push(...reader.read(part))
    if (responses.length > 0) socket.end()
  })
  socket.pause()
  socket.write(get(requestId, `bytes=${BODY_BYTES}`))
  await sleep(NOT_READING_MS)
  for (let number = 1; number <= crossing; number += 1) {
    socket.write(get(`${requestId}-behind-${number}`, `number=${number}`))
  }
  await sleep(CROSSING_MS)
  const closed = new Promise((resolve) => socket.once('close', resolve))
  socket.resume()
  await closed
  return { responses: responses.map(({ status, body, closes }) => ({ status, digest: sha256(body), closes })), error }
}

function get(requestId: string, query: string): string {
  return `GET /slots?${query} HTTP/1.1\r\nhost: ${APPOINTMENT_HOST}\r\nx-request-id: ${requestId}\r\n\r\n`
}
