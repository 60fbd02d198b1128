/**
 * Load process of the overhead measurement. Arguments: port, calls per second (0 for a closed loop), ms, connections.
 * It writes prepared bytes and counts response lengths, since a full client would cost more than what is measured.
 * Latency counts from the time a call was due, so a stalled entry cannot hide its delay.
 */
import { connect, type Socket } from 'node:net'
import { build } from 'hdr-histogram-js'
import { seededRandom } from '@bilberrystall/base'

const [port, rate, durationMs, connections] = process.argv.slice(2).map(Number) as [number, number, number, number]
const REQUEST = 'GET /slots?day=7 HTTP/1.1\r\nhost: calendar.example\r\naccept: */*\r\nuser-agent: load\r\n\r\n'
const HEAD_END = '\r\n\r\n'
const WARM_UP_SHARE = 0.25

const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 })
const random = seededRandom(1)
const begun = performance.now()
const measuredFrom = begun + durationMs * WARM_UP_SHARE
const end = begun + durationMs
const free: Connection[] = []
const due: number[] = []
let completed = 0
let failed = 0

class Connection {
  readonly #socket: Socket
  #dueAt = 0
  #text = ''

  constructor() {
    this.#socket = connect({ port, host: '127.0.0.1', noDelay: true })
    this.#socket.on('data', (part) => {
      this.#receive(part)
    })
    this.#socket.on('error', () => (failed += 1))
    this.#socket.once('connect', () => {
      finished(this)
    })
  }

  send(dueAt: number): void {
    this.#dueAt = dueAt
    this.#socket.write(REQUEST)
  }

  #receive(part: Buffer): void {
    this.#text += part.toString('latin1')
    const split = this.#text.indexOf(HEAD_END)
    if (split < 0) return
    const length = Number(/content-length: (\d+)/i.exec(this.#text)?.[1])
    if (this.#text.length < split + HEAD_END.length + length) return
    if (!this.#text.startsWith('HTTP/1.1 200')) failed += 1
    this.#text = ''
    const now = performance.now()
    if (now > measuredFrom && now < end) {
      completed += 1
      histogram.recordValue(Math.max(1, Math.round((now - this.#dueAt) * 1000)))
    }
    finished(this)
  }
}

function finished(connection: Connection): void {
  if (performance.now() >= end) return
  const dueAt = rate === 0 ? performance.now() : due.shift()
  if (dueAt === undefined) free.push(connection)
  else connection.send(dueAt)
}

let nextDue = begun
function pace(): void {
  const now = performance.now()
  while (rate > 0 && nextDue <= now) {
    const connection = free.pop()
    if (connection === undefined) due.push(nextDue)
    else connection.send(nextDue)
    nextDue += (-Math.log(1 - random()) * 1000) / rate
  }
  if (now < end + 100) {
    // Timers are too coarse for arrivals every few tens of microseconds.
    if (rate > 0) setImmediate(pace)
    else setTimeout(pace, 10)
    return
  }
  const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / 1000
  const perSecond = Math.round((completed * 1000) / (durationMs * (1 - WARM_UP_SHARE)))
  process.stdout.write(JSON.stringify({ perSecond, p50: at(50), p90: at(90), p99: at(99), failed }) + '\n')
  process.exit(0)
}

for (let index = 0; index < connections; index += 1) new Connection()
pace()
