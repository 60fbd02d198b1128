/**
 * A server crashes and starts again under its id while the clock of its machine steps back, then says that it drains.
 * Counts the requests that reach it later than `drain` after the acknowledgement.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { configuration } from './configuration'
import { Fleet } from './fleet'
import { send } from './http-client'
import { Transcript } from './transcript'
import { Server } from './server'

const SERVICE = 'dele69a'
const HOST = 'jepu9.example'
const DRAIN_MS = 2_000
/** How far the clock of the machine of the server is ahead at first. */
const STEP_MS = 2_400
const CLIENT_INTERVAL_MS = 25
const OBSERVED_MS = 4_000

const [, , root = '.', folder = '.'] = process.argv
const hasTrouble = process.env.TROUBLE !== '0'
const record = new Transcript(`${folder}/record.txt`)

async function play(fleet: Fleet): Promise<number> {
  const put = await fleet.rpcUntilAnswered('call=config.put', () =>
    configuration({ service: SERVICE, host: HOST, kind: 'safe', timeout: '1500ms' }),
  )
  record.write(`operator puts version 3: answered ${put.status}`)
  await fleet.waitUntilReady()
  const options = { fleet, record, service: SERVICE, workMs: 20 }
  const leaving = new Server({ ...options, id: 'i-leaving', ip: '127.0.30.2' })
  const staying = new Server({ ...options, id: 'i-staying', ip: '127.0.30.3' })
  await staying.start(Date.now())
  await leaving.start(Date.now() + (hasTrouble ? STEP_MS : 0))
  let attempts = 0
  const clients = setInterval(() => {
    attempts += 1
    const attempt = `a-${attempts}`
    const machine = fleet.machine(attempts % fleet.machines.length)
    const headers = { host: HOST, 'attempt-id': attempt, 'timeout-ms': '1500' }
    void send(fleet.front(machine), { method: 'GET', path: '/slot/1', headers }).then(({ status }) => {
      record.write(`client gets ${status} for ${attempt} from ${machine.name}`)
    })
  }, CLIENT_INTERVAL_MS)
  await sleep(1_000)
  if (hasTrouble) {
    leaving.crash()
    await sleep(500)
    record.write('the clock of the machine of i-leaving is set back to the true time')
    await leaving.start(Date.now())
  }
  await sleep(3_000)
  const before = leaving.arrivals.length
  await leaving.drain()
  const acknowledgedAt = record.now()
  record.write(`i-leaving has its acknowledgement; it ran ${before} requests so far`)
  await sleep(DRAIN_MS + OBSERVED_MS)
  clearInterval(clients)
  const late = leaving.arrivals.filter((at) => at > acknowledgedAt + DRAIN_MS)
  record.write(`${late.length} requests reached i-leaving later than ${DRAIN_MS} ms after the acknowledgement`)
  leaving.crash()
  staying.crash()
  return late.length
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
