import { connect } from 'node:net'
import { randomInt, RESULT_CODES, seededRandom, serverId } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { addServer, respond, sendCall, startFakeServer, startEntry, waitUntil } from './harness'

test('20,000 calls over reused connections each receive the response to their own request', async () => {
  const server = await startFakeServer((received) => {
    const number = Number(received.body.slice(0, 8))
    if (number % 97 === 0) received.socket.resetAndDestroy()
    else if (number % 89 === 0) received.socket.end('HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\npart')
    else if (number % 31 === 0) setTimeout(respond, 1, received, received.body)
    else respond(received, received.body)
  })
  const { origin } = await startEntry([server])
  let next = 0
  let wrong = 0
  let complete = 0
  const worker = async () => {
    while (next < 20_000) {
      const body = String(next++).padStart(8, '0').repeat(4)
      const result = await sendCall(`${origin}/write`, { method: 'POST', body }).catch(() => undefined)
      if (result?.status === 200) complete += 1
      if (result?.status === 200 && result.text !== body) wrong += 1
    }
  }
  await Promise.all(Array.from({ length: 32 }, worker))
  expect(wrong).toBe(0)
  const failed = Array.from({ length: 20_000 }, (_, index) => index % 97 === 0 || index % 89 === 0).filter(
    Boolean,
  ).length
  expect(complete).toBe(20_000 - failed)
  expect(new Set(server.received.map(({ body }) => body)).size).toBe(server.received.length)
  expect(server.sockets.length).toBeLessThan(20_000 / 10)
})

test('no call that is reported as not run appears in the records of the servers', async () => {
  const ran = new Set<string>()
  const handler: Parameters<typeof startFakeServer>[0] = (received) => {
    const number = Number(received.body)
    if (number % 4 === 0) {
      respond(received, 'busy', ['bilberrystall-not-run: 1'], '503 Service Unavailable')
      return
    }
    ran.add(received.body)
    if (number % 5 === 0) received.socket.resetAndDestroy()
    else respond(received, 'done')
  }
  const servers = [await startFakeServer(handler), await startFakeServer(handler)]
  const { origin, entry } = await startEntry([
    ...servers,
    { port: 1, received: [], sockets: [], crash: () => undefined },
  ])
  const outcomes: (string | undefined)[] = []
  for (let number = 0; number < 260; number += 1) {
    const pending = sendCall(`${origin}/brief`, { method: 'POST', body: String(number) })
    if (number === 100) servers[0]?.sockets.forEach((socket) => socket.destroy())
    if (number === 150) entry.removeServer(serverId('server-0'))
    if (number === 250) entry.removeServer(serverId('server-1'))
    outcomes.push((await pending).outcome)
  }
  const notRun = outcomes.flatMap((outcome, number) => (outcome === 'not-run' ? [String(number)] : []))
  expect(notRun.length).toBeGreaterThanOrEqual(10)
  expect(notRun.filter((body) => ran.has(body))).toEqual([])
})

test('a silent connection is detected and retired while a new one works', async () => {
  let silent = false
  const server = await startFakeServer((received) => {
    if (silent && received.socket === server.sockets[0]) return
    respond(received, 'done')
  })
  const retired: number[] = []
  const { origin } = await startEntry([server], {
    limits: { silenceMs: 50, sweepIntervalMs: 10 },
    events: { silentRetired: (_, count) => retired.push(count) },
  })
  await sendCall(`${origin}/middle`)
  silent = true
  const stuck = sendCall(`${origin}/middle`)
  await waitUntil(() => server.sockets.length === 2)
  expect(await sendCall(`${origin}/middle`)).toMatchObject({ status: 200 })
  expect(retired).toEqual([1])
  expect(await stuck).toMatchObject({ code: RESULT_CODES.connectionSilent.number, outcome: 'unknown' })
  await waitUntil(() => server.sockets[0]?.destroyed === true)
})

test('a repeatable call on a silent connection is retried at another server', async () => {
  const working = await startFakeServer((received) => {
    respond(received, 'done')
  })
  const silent = await startFakeServer(() => {
    addServer(entry, working, 1)
  })
  const { origin, entry } = await startEntry([silent], { limits: { silenceMs: 50, sweepIntervalMs: 10 } })
  expect(await sendCall(`${origin}/read`)).toMatchObject({ status: 200, text: 'done' })
  await waitUntil(() => silent.sockets.some((socket) => socket.destroyed))
})

test('an idle connection is not reused for a call that is not repeatable', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'done')
  })
  const { origin } = await startEntry([server], { limits: { idleReuseMs: 0 } })
  await sendCall(`${origin}/read`)
  await sendCall(`${origin}/read`)
  expect(server.sockets).toHaveLength(1)
  await sendCall(`${origin}/write`, { method: 'POST', body: 'a' })
  expect(server.sockets).toHaveLength(2)
})

test('an entry opens no more connections than its share of the connection limit of a server', async () => {
  const server = await startFakeServer((received) => setTimeout(respond, 5, received, 'done'))
  const { origin } = await startEntry([server], { liveEntries: () => 16 })
  await Promise.all(Array.from({ length: 40 }, () => sendCall(`${origin}/read`)))
  expect(server.sockets.length).toBeLessThanOrEqual(4)
})

test('a drain lets calls in flight finish and refuses new connections', async () => {
  const pending: (() => void)[] = []
  const server = await startFakeServer((received) => {
    pending.push(() => {
      respond(received, 'done')
    })
  })
  const { origin, entry } = await startEntry([server])
  const results = Promise.all(
    Array.from({ length: 8 }, () => sendCall(`${origin}/write`, { method: 'POST', body: 'a' })),
  )
  await waitUntil(() => pending.length === 8)
  const drained = entry.drain(30_000)
  // What has arrived by now is still accepted.
  await new Promise((resolve) => setImmediate(resolve))
  await expect(sendCall(`${origin}/read`)).rejects.toThrow()
  for (const finish of pending) finish()
  expect((await results).map(({ status, text }) => `${status} ${text}`)).toEqual(Array(8).fill('200 done'))
  expect(await drained).toBe(true)
})

test('a request that is half received when the drain begins gets its answer', async () => {
  const server = await startFakeServer((received) => {
    respond(received, 'done')
  })
  const { entry, origin } = await startEntry([server])
  const socket = connect(Number(new URL(origin).port), '127.0.0.1')
  let received = ''
  socket.on('data', (part) => (received += part.toString('latin1')))
  const closed = new Promise<void>((resolve) => socket.once('close', resolve))
  socket.write('GET /read HTTP/1.1\r\nhost: a.ex')
  await new Promise((resolve) => setTimeout(resolve, 50))
  const stopped = entry.drain(2_000).then(() => entry.stop())
  await new Promise((resolve) => setTimeout(resolve, 100))
  socket.write('ample\r\n\r\n')
  await Promise.all([stopped, closed])
  expect(received).toMatch(/^HTTP\/1.1 200 OK[^]*connection: close[^]*done$/i)
})

test('callers that abort at any time do not affect other calls or leak connections', async () => {
  const random = seededRandom(11)
  const server = await startFakeServer((received) => {
    const long = 'x'.repeat(randomInt(random, 40_000))
    setTimeout(respond, randomInt(random, 6), received, `${received.body.slice(0, 8)} ${long}`)
  })
  const { origin, entry } = await startEntry([server])
  const bodyOf = (number: number) => String(number).padStart(8, '0') + 'y'.repeat(number % 3 === 0 ? 90_000 : 10)
  let wrong = 0
  const one = async (number: number) => {
    const abort = new AbortController()
    const aborts = number % 2 === 0
    if (aborts) setTimeout(abort.abort.bind(abort), randomInt(random, 8))
    const signal = abort.signal
    const pending = sendCall(`${origin}/write`, { method: 'POST', body: bodyOf(number), signal })
    const result = await pending.catch(() => undefined)
    const own = result?.text.startsWith(String(number).padStart(8, '0')) === true
    if (result === undefined ? !aborts : !own) wrong += 1
  }
  for (let round = 0; round < 20; round += 1) {
    await Promise.all(Array.from({ length: 40 }, (_, index) => one(round * 40 + index)))
  }
  expect(wrong).toBe(0)
  await waitUntil(() => entry.callsInFlight === 0)
})
