import { createSocket, type Socket } from 'node:dgram'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { freePort, Network } from '@bilberrystall/testkit'

const SETTLE_MS = 100
const HOST = '127.0.0.1'

let network: Network
const sockets = new Map<string, Socket>()
let received: string[] = []

/** Each node answers a packet with its name, and records what it gets. */
beforeEach(async () => {
  network = new Network()
  for (const name of ['first', 'second', 'third']) {
    const socket = createSocket('udp4')
    const port = await freePort()
    await once(socket.bind(port, HOST), 'listening')
    socket.on('message', (packet, sender) => {
      received.push(`${name} got ${packet.toString()}`)
      if (packet.toString().startsWith('to ')) socket.send(`from ${name}`, sender.port, sender.address)
    })
    sockets.set(name, socket)
    await network.addNode(name, `${HOST}:${port}`, await freePort())
  }
})

afterEach(async () => {
  received = []
  for (const socket of sockets.values()) socket.close()
  sockets.clear()
  await network.stop()
})

async function send(from: string, to: string): Promise<void> {
  const port = Number(network.proxy(to).address.split(':')[1])
  sockets.get(from)?.send(`to ${to}`, port, HOST)
  await sleep(SETTLE_MS)
}

test('packets and their answers pass the proxy of a node', async () => {
  await send('first', 'second')
  expect(received).toEqual(['second got to second', 'first got from second'])
})

test('packets from and to an isolated node are lost, and those of the others pass', async () => {
  network.isolate('second')
  await send('first', 'second')
  await send('second', 'first')
  expect(received).toEqual([])
  await send('first', 'third')
  expect(received).toEqual(['third got to third', 'first got from third'])
  network.heal()
  expect(received).toHaveLength(2)
  await send('first', 'second')
  expect(received).toHaveLength(4)
})

test('a direction that is frozen loses packets, and a delay holds them back', async () => {
  network.proxy('second').set({ frozen: ['backward'] })
  await send('first', 'second')
  expect(received).toEqual(['second got to second'])
  network.proxy('second').set({ frozen: [], delayMs: SETTLE_MS * 2 })
  await send('first', 'second')
  expect(received).toHaveLength(1)
  await sleep(SETTLE_MS * 4)
  expect(received).toHaveLength(3)
})
