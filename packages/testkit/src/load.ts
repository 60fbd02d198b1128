/**
 * Load generator: sends calls in an open loop (seeded exponential inter-arrival times) or in a closed loop (a fixed
 * number of concurrent callers). Every response body contains the id of its request and is compared with the expected
 * one. Failed calls are counted by the outcome that their response reports.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { seededRandom } from '@bilberrystall/base'
import { Agent, request, type Dispatcher } from 'undici'
import { photoDigest, sha256, type EchoResponse } from './response-body'
import { uuidV7 } from './uuid-v7'

export interface Call {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly host?: string
  /** Expected body size if the call downloads a photo. */
  readonly photoBytes?: number
  readonly body?: string
  readonly idempotencyKey?: string
  readonly requestId?: string
  readonly headers?: Readonly<Record<string, string>>
}

/** `wrong` is a response whose body does not match the request; `aborted` means that the transfer failed. */
export type CallOutcome = 'complete' | 'failed' | 'not-run' | 'unknown' | 'aborted' | 'wrong'

export interface CallResult {
  readonly outcome: CallOutcome
  readonly requestId: string
  /** HTTP status, 0 if there was no response. */
  readonly status: number
  /** Result code of a problem document, or the error code of the connection. */
  readonly code: string
  readonly server: string
  readonly replayed: boolean
  /** Value of the field `x-request-id` of the response. */
  readonly responseId: string
  /** Response body if it is shorter than 4096 bytes, otherwise empty. */
  readonly text: string
}

export type Pace =
  { readonly kind: 'open'; readonly callsPerSecond: number } | { readonly kind: 'closed'; readonly callers: number }

export interface LoadOptions {
  /** Addresses of the entries' listeners for callers, `address:port`, used round-robin. */
  readonly entries: readonly string[]
  readonly pace: Pace
  readonly durationMs: number
  readonly seed?: number
  readonly calls: readonly Call[]
  /** Adds a new idempotency key to every call that is not a GET. */
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
  const emptyResult = { requestId, status: 0, code: '', server: '', replayed: false, responseId: '', text: '' }
  try {
    const response = await request(`http://${entry}${call.path}`, {
      method: call.method,
      headers: buildHeaders(call, requestId),
      body: call.body ?? null,
      ...(dispatcher === undefined ? {} : { dispatcher }),
    })
    const body = Buffer.from(await response.body.arrayBuffer())
    const replayed = response.headers['idempotent-replayed'] === 'true'
    const received = {
      ...emptyResult,
      status: response.statusCode,
      replayed,
      responseId: String(response.headers['x-request-id'] ?? ''),
      text: body.length < 4096 ? String(body) : '',
    }
    if (response.statusCode < 400) return { ...received, ...verifyResponse(call, requestId, body, replayed) }
    return { ...received, ...classifyError(body) }
  } catch (cause) {
    const code = (cause as NodeJS.ErrnoException).code ?? String(cause)
    return { ...emptyResult, outcome: 'aborted', code }
  }
}

export async function runLoad(options: LoadOptions): Promise<LoadSummary> {
  const agent = new Agent({ connections: 256, pipelining: 1, headersTimeout: 60_000 })
  const statistics = new LoadStatistics()
  let nextIndex = 0
  const sendNext = async (): Promise<void> => {
    const position = nextIndex
    nextIndex += 1
    const entry = options.entries[position % options.entries.length] ?? ''
    const template = options.calls[position % options.calls.length] ?? { method: 'GET', path: '/' }
    const call =
      options.keys === true && template.method !== 'GET' ? { ...template, idempotencyKey: uuidV7() } : template
    const startedAt = performance.now()
    statistics.add(await sendCall(entry, call, agent), performance.now() - startedAt)
  }
  await (options.pace.kind === 'open'
    ? openLoop(options, options.pace.callsPerSecond, sendNext)
    : closedLoop(options, options.pace.callers, sendNext))
  await agent.close()
  return statistics.report()
}

/** Sends calls independently of responses, so that slow responses do not reduce the load. */
async function openLoop(options: LoadOptions, callsPerSecond: number, send: () => Promise<void>): Promise<void> {
  const random = seededRandom(options.seed ?? 1)
  const startedAt = performance.now()
  const running: Promise<void>[] = []
  let arrivalMs = 0
  while (arrivalMs < options.durationMs) {
    const delayMs = startedAt + arrivalMs - performance.now()
    if (delayMs > 1) await sleep(delayMs)
    running.push(send())
    arrivalMs += (-Math.log(1 - random()) * 1000) / callsPerSecond
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

function buildHeaders(call: Call, requestId: string): Record<string, string> {
  return {
    'x-request-id': requestId,
    ...(call.host === undefined ? {} : { host: call.host }),
    ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
    ...call.headers,
  }
}

type ResponseClassification = Pick<CallResult, 'outcome' | 'code' | 'server'>

/** The request id of a replayed response is not compared, because it is that of the first attempt. */
function verifyResponse(call: Call, requestId: string, body: Buffer, replayed: boolean): ResponseClassification {
  if (call.photoBytes !== undefined) {
    const expected = photoDigest(requestId, call.photoBytes)
    return { outcome: sha256(body) === expected ? 'complete' : 'wrong', code: 'photo', server: '' }
  }
  try {
    const echo = JSON.parse(String(body)) as EchoResponse
    const matches = (replayed || echo.request === requestId) && echo.bodyDigest === sha256(call.body ?? '')
    return { outcome: matches ? 'complete' : 'wrong', code: 'ok', server: echo.server }
  } catch {
    return { outcome: 'wrong', code: 'not-json', server: '' }
  }
}

/** An error response without `outcome` comes from the server itself: it is complete, but the call failed. */
function classifyError(body: Buffer): ResponseClassification {
  try {
    const { code, outcome } = JSON.parse(String(body)) as { code?: number; outcome?: string }
    if (outcome === 'not-run' || outcome === 'unknown') return { outcome, code: String(code), server: '' }
  } catch {
    // The error response of a server is not necessarily JSON.
  }
  return { outcome: 'failed', code: 'server', server: '' }
}

class LoadStatistics {
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
    const latencyAt = (percentile: number): number => this.#latencies.getValueAtPercentile(percentile) / 1000
    const latencyMs = { p50: latencyAt(50), p99: latencyAt(99), max: latencyAt(100) }
    return { sent: this.#sent, outcomes: this.#outcomes, codes: this.#codes, servers: this.#servers, latencyMs }
  }
}
