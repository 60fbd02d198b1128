/**
 * Load command: sends calls in open loop (seeded exponential arrivals at a rate) or closed loop (a fixed number of
 * concurrent callers). Every body names its request and every response is compared with the expected one; outcomes are
 * counted as the response states them.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { seededRandom } from '@bilberrystall/base'
import { Agent, request, type Dispatcher } from 'undici'
import { photoDigest, sha256, type Answer } from './body'
import { uuidV7 } from './uuid-v7'

export interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly host?: string
  /** Expected size when the call pulls a photo. */
  readonly photoBytes?: number
  readonly body?: string
  readonly idempotencyKey?: string
  readonly requestId?: string
  readonly headers?: Readonly<Record<string, string>>
}

/** `wrong` is a response that is not the complete response to this request; `aborted` is a broken transfer. */
export type CallOutcome = 'complete' | 'failed' | 'not-run' | 'unknown' | 'aborted' | 'wrong'

export interface CallResult {
  readonly outcome: CallOutcome
  readonly requestId: string
  /** HTTP status, 0 without a response. */
  readonly status: number
  /** Result code of a problem document, or the error code of the connection. */
  readonly code: string
  readonly server: string
  readonly replayed: boolean
  readonly text: string
}

export type Pace =
  { readonly kind: 'open'; readonly callsPerSecond: number } | { readonly kind: 'closed'; readonly callers: number }

export interface LoadOptions {
  /** Caller listeners of entries, `address:port`, used in turn. */
  readonly entries: readonly string[]
  readonly pace: Pace
  readonly durationMs: number
  readonly seed?: number
  readonly calls: readonly Call[]
  /** Adds a fresh idempotency key to calls that are not GET. */
  readonly keys?: boolean
}

export interface LoadSummary {
  readonly sent: number
  readonly outcomes: Readonly<Record<CallOutcome, number>>
  readonly codes: Readonly<Record<string, number>>
  readonly servers: Readonly<Record<string, number>>
  readonly latencyMs: { readonly p50: number; readonly p99: number; readonly max: number }
}

/** Sends one call and verifies its response. */
export async function sendCall(entry: string, call: Call, dispatcher?: Dispatcher): Promise<CallResult> {
  const requestId = call.requestId ?? randomUUID()
  const nothing = { requestId, status: 0, code: '', server: '', replayed: false, text: '' }
  try {
    const response = await request(`http://${entry}${call.path}`, {
      method: call.method,
      headers: headersOf(call, requestId),
      body: call.body ?? null,
      ...(dispatcher === undefined ? {} : { dispatcher }),
    })
    const body = Buffer.from(await response.body.arrayBuffer())
    const replayed = response.headers['idempotent-replayed'] === 'true'
    const seen = { ...nothing, status: response.statusCode, replayed, text: body.length < 4096 ? String(body) : '' }
    if (response.statusCode < 400) return { ...seen, ...verify(call, requestId, body, replayed) }
    return { ...seen, ...problemOf(body) }
  } catch (cause) {
    const code = cause instanceof Error && 'code' in cause ? String(cause.code) : String(cause)
    return { ...nothing, outcome: 'aborted', code }
  }
}

export async function runLoad(options: LoadOptions): Promise<LoadSummary> {
  const agent = new Agent({ connections: 256, pipelining: 1, headersTimeout: 60_000 })
  const tally = new Tally()
  let next = 0
  const sendNext = async (): Promise<void> => {
    const position = next
    next += 1
    const entry = options.entries[position % options.entries.length] ?? ''
    const template = options.calls[position % options.calls.length] ?? { method: 'GET', path: '/' }
    const call =
      options.keys === true && template.method !== 'GET' ? { ...template, idempotencyKey: uuidV7() } : template
    const begun = performance.now()
    tally.add(await sendCall(entry, call, agent), performance.now() - begun)
  }
  await (options.pace.kind === 'open'
    ? openLoop(options, options.pace.callsPerSecond, sendNext)
    : closedLoop(options, options.pace.callers, sendNext))
  await agent.close()
  return tally.report()
}

/** Arrivals do not wait for responses, so slow responses do not reduce the load. */
async function openLoop(options: LoadOptions, callsPerSecond: number, send: () => Promise<void>): Promise<void> {
  const random = seededRandom(options.seed ?? 1)
  const begun = performance.now()
  const running: Promise<void>[] = []
  let due = 0
  while (due < options.durationMs) {
    const wait = begun + due - performance.now()
    if (wait > 1) await sleep(wait)
    running.push(send())
    due += (-Math.log(1 - random()) * 1000) / callsPerSecond
  }
  await Promise.all(running)
}

async function closedLoop(options: LoadOptions, callers: number, send: () => Promise<void>): Promise<void> {
  const end = performance.now() + options.durationMs
  const caller = async (): Promise<void> => {
    while (performance.now() < end) await send()
  }
  await Promise.all(Array.from({ length: callers }, caller))
}

function headersOf(call: Call, requestId: string): Record<string, string> {
  return {
    'x-request-id': requestId,
    ...(call.host === undefined ? {} : { host: call.host }),
    ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
    ...call.headers,
  }
}

type Verdict = Pick<CallResult, 'outcome' | 'code' | 'server'>

/** A replayed response names the first attempt, so its request id is not compared. */
function verify(call: Call, requestId: string, body: Buffer, replayed: boolean): Verdict {
  if (call.photoBytes !== undefined) {
    const expected = photoDigest(requestId, call.photoBytes)
    return { outcome: sha256(body) === expected ? 'complete' : 'wrong', code: 'photo', server: '' }
  }
  try {
    const answer = JSON.parse(String(body)) as Answer
    const own = (replayed || answer.request === requestId) && answer.bodyDigest === sha256(call.body ?? '')
    return { outcome: own ? 'complete' : 'wrong', code: 'ok', server: answer.server }
  } catch {
    return { outcome: 'wrong', code: 'not-json', server: '' }
  }
}

/** An error without `outcome` is the server's own response: complete, but a failure. */
function problemOf(body: Buffer): Verdict {
  try {
    const { code, outcome } = JSON.parse(String(body)) as { code?: number; outcome?: string }
    if (outcome === 'not-run' || outcome === 'unknown') return { outcome, code: String(code), server: '' }
  } catch {
    // The body of a failing server need not be JSON.
  }
  return { outcome: 'failed', code: 'server', server: '' }
}

class Tally {
  readonly #outcomes = { complete: 0, failed: 0, 'not-run': 0, unknown: 0, aborted: 0, wrong: 0 }
  readonly #codes: Record<string, number> = {}
  readonly #servers: Record<string, number> = {}
  readonly #latencies: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000 })
  #sent = 0

  add(result: CallResult, latencyMs: number): void {
    this.#sent += 1
    this.#outcomes[result.outcome] += 1
    if (result.outcome !== 'complete') this.#codes[result.code] = (this.#codes[result.code] ?? 0) + 1
    if (result.server !== '') this.#servers[result.server] = (this.#servers[result.server] ?? 0) + 1
    this.#latencies.recordValue(Math.max(1, Math.round(latencyMs * 1000)))
  }

  report(): LoadSummary {
    const at = (percentile: number): number => this.#latencies.getValueAtPercentile(percentile) / 1000
    const latencyMs = { p50: at(50), p99: at(99), max: at(100) }
    return { sent: this.#sent, outcomes: this.#outcomes, codes: this.#codes, servers: this.#servers, latencyMs }
  }
}
