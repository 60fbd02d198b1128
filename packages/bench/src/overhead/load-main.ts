/**
 * Load generator of the overhead benchmark. Arguments: port, calls per second (0 for a closed loop), duration in ms,
 * connections. It writes a prepared request and checks only the status and length of responses, since a full HTTP
 * client would cost more than what is measured. Latency is measured from the time at which a call was due, so that the
 * delay of a stalled entry is included.
 */
import { connect, type Socket } from 'node:net'
import { build } from 'hdr-histogram-js'
import { seededRandom } from '@bilberrystall/base'

const [port, rate, durationMs, connections] = process.argv.slice(2).map(Number) as [number, number, number, number]
const REQUEST = 'GET /slots?day=7 HTTP/1.1\r\nhost: calendar.example\r\naccept: */*\r\nuser-agent: load\r\n\r\n'
const END_OF_HEAD = '\r\n\r\n'
const WARM_UP_SHARE = 0.25

const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 })
const random = seededRandom(1)
const startedAt = performance.now()
const measuredFrom = startedAt + durationMs * WARM_UP_SHARE
const endsAt = startedAt + durationMs
const idleConnections: Connection[] = []
const overdueTimes: number[] = []
let completed = 0
let failed = 0

class Connection {
  readonly #socket: Socket
  #dueAt = 0
  #text = ''

  constructor() {
    this.#socket = connect({ port, host: '127.0.0.1', noDelay: true })
    this.#socket.on('data', (chunk) => {
      this.#receive(chunk)
    })
    this.#socket.on('error', () => (failed += 1))
    this.#socket.once('connect', () => {
      sendNextOrIdle(this)
    })
  }

  send(dueAt: number): void {
    this.#dueAt = dueAt
    this.#socket.write(REQUEST)
  }

  #receive(chunk: Buffer): void {
    this.#text += chunk.toString('latin1')
    const headEnd = this.#text.indexOf(END_OF_HEAD)
    if (headEnd < 0) return
    const length = Number(/content-length: (\d+)/i.exec(this.#text)?.[1])
    if (this.#text.length < headEnd + END_OF_HEAD.length + length) return
    if (!this.#text.startsWith('HTTP/1.1 200')) failed += 1
    this.#text = ''
    const now = performance.now()
    if (now > measuredFrom && now < endsAt) {
      completed += 1
      histogram.recordValue(Math.max(1, Math.round((now - this.#dueAt) * 1000)))
    }
    sendNextOrIdle(this)
  }
}

function sendNextOrIdle(connection: Connection): void {
  if (performance.now() >= endsAt) return
  const dueAt = rate === 0 ? performance.now() : overdueTimes.shift()
  if (dueAt === undefined) idleConnections.push(connection)
  else connection.send(dueAt)
}

let nextDue = startedAt
function sendDueCalls(): void {
  const now = performance.now()
  while (rate > 0 && nextDue <= now) {
    const connection = idleConnections.pop()
    if (connection === undefined) overdueTimes.push(nextDue)
    else connection.send(nextDue)
    nextDue += (-Math.log(1 - random()) * 1000) / rate
  }
  if (now < endsAt + 100) {
    // Timers are too coarse for a call every few tens of microseconds.
    if (rate > 0) setImmediate(sendDueCalls)
    else setTimeout(sendDueCalls, 10)
    return
  }
  const milliseconds = (percentile: number) => histogram.getValueAtPercentile(percentile) / 1000
  const perSecond = Math.round((completed * 1000) / (durationMs * (1 - WARM_UP_SHARE)))
  process.stdout.write(
    JSON.stringify({ perSecond, p50: milliseconds(50), p90: milliseconds(90), p99: milliseconds(99), failed }) + '\n',
  )
  process.exit(0)
}

for (let index = 0; index < connections; index += 1) new Connection()
sendDueCalls()
