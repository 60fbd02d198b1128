/**
 * Guards against a peer that stays out of reach after its network has healed: the kernel repeats an unanswered
 * connection request at doubling intervals, so calls must not wait for one that was sent while packets were lost.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { ConnectError, type ConnectRouter } from '@connectrpc/connect'
import { GossipService, RpcClients, RpcServer, TrafficCounter } from '@bilberrystall/rpc'
import { afterEach, expect, test } from 'vitest'

/** Time within which a change must reach a node whose network works. */
const IN_FORCE_LIMIT_MS = 2_000
/** Kernels repeat a connection request after 7 s and next after 11 s or 15 s. */
const OUTAGE_MS = 7_500
const CALL_TIMEOUT_MS = 200
/** Longer than the time limit of a connection that is being opened. */
const BUSY_MS = 1_200
const MAX_QUEUED_CONNECTIONS = 10
const LISTEN = `
  const server = require('node:net').createServer()
  server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => console.log(server.address().port))
`

const cleanups: (() => unknown)[] = []

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

/** Returns a port whose connection requests the kernel drops until `restore` is called. */
async function droppingPort(): Promise<{ readonly port: number; readonly restore: () => Promise<void> }> {
  const listener = spawn(process.execPath, ['-e', LISTEN], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [line] = (await once(listener.stdout, 'data')) as [Buffer]
  const port = Number(line.toString())
  listener.kill('SIGSTOP')
  const queued: Socket[] = []
  const end = async () => {
    for (const socket of queued) socket.destroy()
    listener.kill('SIGKILL')
    if (listener.exitCode === null && listener.signalCode === null) await once(listener, 'exit')
  }
  cleanups.push(end)
  // Connection requests are dropped once the queue of the stopped listener is full.
  for (let count = 0; count < MAX_QUEUED_CONNECTIONS; count += 1) {
    const socket = connect({ host: '127.0.0.1', port })
    socket.on('error', () => undefined)
    queued.push(socket)
    const isConnected = await Promise.race([once(socket, 'connect').then(() => true), sleep(CALL_TIMEOUT_MS, false)])
    if (!isConnected) return { port, restore: end }
  }
  throw new Error('the queue of the listener does not fill up')
}

test('a peer is reached within 2 s after its network has healed', async () => {
  const { port, restore } = await droppingPort()
  const clients = new RpcClients({ nodeKey: '', traffic: new TrafficCounter() })
  cleanups.push(() => {
    clients.close()
  })
  const gossip = clients.client(GossipService, `127.0.0.1:${port}`)
  const exchange = () => gossip.exchange({}, { timeoutMs: CALL_TIMEOUT_MS })
  const droppedUntil = performance.now() + OUTAGE_MS
  while (performance.now() < droppedUntil) await expect(exchange()).rejects.toThrow(ConnectError)
  await restore()
  const routes = (router: ConnectRouter) => {
    router.service(GossipService, { exchange: () => ({}) })
  }
  const server = await RpcServer.listen({ host: '127.0.0.1', port, nodeKey: '', traffic: new TrafficCounter(), routes })
  cleanups.push(() => server._unsafeUnwrap().close())
  const healedAt = performance.now()
  let response: unknown
  while (response === undefined) response = await exchange().catch(() => undefined)
  expect(performance.now() - healedAt).toBeLessThan(IN_FORCE_LIMIT_MS)
}, 30_000)

// Guards against connections that are given up although they have opened, because the process was busy meanwhile.
test('a connection that opens while the event loop is busy is used', async () => {
  const routes = (router: ConnectRouter) => {
    router.service(GossipService, { exchange: () => ({}) })
  }
  const server = await RpcServer.listen({
    host: '127.0.0.1',
    port: 0,
    nodeKey: '',
    traffic: new TrafficCounter(),
    routes,
  })
  cleanups.push(() => server._unsafeUnwrap().close())
  const clients = new RpcClients({ nodeKey: '', traffic: new TrafficCounter() })
  cleanups.push(() => {
    clients.close()
  })
  const gossip = clients.client(GossipService, `127.0.0.1:${server._unsafeUnwrap().port}`)
  const response = gossip.exchange({}, { timeoutMs: 10_000 })
  setImmediate(() => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BUSY_MS)
  })
  await expect(response).resolves.toBeDefined()
})
