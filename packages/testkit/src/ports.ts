/**
 * Ports for the processes of a test run. Each test process reserves whole blocks of ports and keeps the first port of a
 * block bound until it exits, so that test processes that run at the same time never use the same port.
 */
import { createServer, type Server } from 'node:net'
import { randomInt } from 'node:crypto'

/** The blocks end below the usual range of outgoing connections, which starts at 32768. */
const FIRST_PORT = 11_000
const BLOCK_PORTS = 100
const BLOCK_COUNT = 200

interface Block {
  /** Keeps the first port of the block bound. */
  readonly reservation: Server
  /** Port to try next. */
  next: number
  /** First port after the block. */
  readonly end: number
}

let currentBlock: Promise<Block> | undefined

/** Returns a port that this process has not returned before and that no other test process uses while this one runs. */
export async function freePort(): Promise<number> {
  for (;;) {
    const pending = (currentBlock ??= reserveBlock())
    const current = await pending
    const port = current.next
    current.next += 1
    if (port < current.end) {
      if (await isFree(port)) return port
    } else if (currentBlock === pending) {
      currentBlock = undefined
    }
  }
}

/** Returns successive ports. */
export async function freePortRange(count: number): Promise<readonly number[]> {
  const ports: number[] = []
  while (ports.length < count) {
    const port = await freePort()
    if (ports.length > 0 && port !== (ports.at(-1) ?? 0) + 1) ports.splice(0)
    ports.push(port)
  }
  return ports
}

async function reserveBlock(): Promise<Block> {
  const start = randomInt(BLOCK_COUNT)
  for (let offset = 0; offset < BLOCK_COUNT; offset += 1) {
    const first = FIRST_PORT + ((start + offset) % BLOCK_COUNT) * BLOCK_PORTS
    const reservation = await bind(first)
    if (reservation !== undefined) return { reservation, next: first + 1, end: first + BLOCK_PORTS }
  }
  throw new Error(`no free block of ${BLOCK_PORTS} ports from port ${FIRST_PORT}: all ${BLOCK_COUNT} are reserved`)
}

async function isFree(port: number): Promise<boolean> {
  const server = await bind(port)
  if (server === undefined) return false
  await new Promise((resolve) => server.close(resolve))
  return true
}

/** Listens on the port without keeping the process alive. Returns undefined if the port is in use. */
function bind(port: number): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', (cause: NodeJS.ErrnoException) => {
      if (cause.code === 'EADDRINUSE') resolve(undefined)
      else reject(cause)
    })
    server.listen({ port, host: '127.0.0.1', exclusive: true }, () => {
      server.unref()
      resolve(server)
    })
  })
}
