/**
 * Half of the open connections between a machine and the servers go silent for good while new ones work. Compares each success that a
 * client gets with the body that the server which signed it sent for that attempt.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { configuration } from './configuration'
import { Fleet } from './fleet'
import { sendRaw } from './raw-client'
import { answerOf, Server } from './server'
import { Transcript } from './transcript'

const SERVICE = 'gowu98c'
const HOST = 'lopu12.example'
const ANSWER_BYTES = 8_000
const CLIENT_INTERVAL_MS = 50
/** Times that clients wait, drawn by lot. */
const CLIENT_TIMEOUTS_MS = [2_400, 4_800]
const SILENCES = 8
const SILENCE_INTERVAL_MS = 6_000

const [, , root = '.', folder = '.'] = process.argv
const hasTrouble = process.env.TROUBLE !== '0'
const record = new Transcript(`${folder}/record.txt`)
let wrong = 0
let right = 0

async function call(fleet: Fleet, number: number): Promise<void> {
  const attempt = `a-${number}`
  const timeout = CLIENT_TIMEOUTS_MS[Math.floor(Math.random() * CLIENT_TIMEOUTS_MS.length)] ?? 0
  const machine = fleet.machine(3)
  const headers = { host: HOST, 'attempt-id': attempt, 'timeout-ms': String(timeout) }
  record.write(`client sends ${attempt} to ${machine.name}, waits ${timeout} ms`)
  const request = { method: 'GET', path: '/slot/1', headers }
  const { status, headers: received, body, surplusBytes } = await sendRaw(fleet.front(machine), request, timeout)
  const id = (received['server-signature'] ?? '').replace('signed.', '')
  record.write(`client gets ${status} for ${attempt}, signed by ${id}, ${body.length} bytes, ${surplusBytes} behind it`)
  if (status !== 200) return
  if (body === answerOf(id, attempt, ANSWER_BYTES) && surplusBytes === 0) {
    right += 1
    return
  }
  wrong += 1
  const pieces = [...new Set(body.match(/answer of [^;]*/g))]
  record.write(`WRONG body for ${attempt}, signed by ${id}: made of "${pieces.join('" and "')}"`)
}

async function play(fleet: Fleet): Promise<number> {
  const put = await fleet.rpcUntilAnswered('call=config.put', () =>
    configuration({ service: SERVICE, host: HOST, kind: 'safe', timeout: '5000ms' }),
  )
  record.write(`operator puts version 3: answered ${put.status}`)
  await fleet.waitUntilReady()
  const options = { fleet, record, service: SERVICE, workMs: 20, answerBytes: ANSWER_BYTES, pauseMs: 300 }
  const servers = ['127.0.30.2', '127.0.30.3', '127.0.30.4'].map(
    (ip, index) => new Server({ ...options, id: `i-${index + 1}`, ip }),
  )
  const proxies = await Promise.all(servers.map((server) => server.startBehindProxy(Date.now())))
  await sleep(1_000)
  let attempts = 0
  const clients = setInterval(() => {
    attempts += 1
    void call(fleet, attempts)
  }, CLIENT_INTERVAL_MS)
  for (let turn = 0; turn < SILENCES; turn += 1) {
    await sleep(SILENCE_INTERVAL_MS)
    const counts = hasTrouble ? proxies.map((proxy) => proxy.silenceHalf()) : [0]
    record.write(`open connections that go silent, by server: ${counts.join(', ')}`)
  }
  await sleep(SILENCE_INTERVAL_MS)
  clearInterval(clients)
  record.write(`${right} successes with the body of their server, ${wrong} with another`)
  for (const server of servers) server.crash()
  for (const proxy of proxies) proxy.close()
  return wrong
}

let status = 2
let fleet: Fleet | undefined
const limit = setTimeout(() => {
  record.write('the script took too long')
  void fleet?.end().then(() => process.exit(2))
}, 110_000)
try {
  fleet = await Fleet.start(record, root, 4)
  status = (await play(fleet)) > 0 ? 1 : 0
} catch (cause) {
  record.write(`the case could not run: ${String(cause)}`)
} finally {
  await fleet?.end()
  clearTimeout(limit)
}
record.write(`exit ${status}`)
process.exit(status)
