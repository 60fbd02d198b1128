/**
 * Message heads. Checks the head of a caller's request and copies heads between the two sides: fields of one connection
 * (hop-by-hop) and fields that belong to the system are not copied.
 */
import type { IncomingMessage } from 'node:http'
import { failure, type Failure } from '@bilberrystall/base'
import type { Load } from '@bilberrystall/routing'
import { err, ok, type Result } from 'neverthrow'

export const SYSTEM_PREFIX = 'bilberrystall-'
export const CONTEXT_HEADER = 'bilberrystall-context'
export const DEADLINE_HEADER = 'bilberrystall-deadline-ms'
export const QUEUE_LIMIT_HEADER = 'bilberrystall-queue-limit'
export const NOT_RUN_HEADER = 'bilberrystall-not-run'
export const LOAD_HEADER = 'bilberrystall-load'
export const KEY_HEADER = 'idempotency-key'

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'expect',
  'http2-settings',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
])
const DOT_SEGMENT = /\/(?:\.|%2e){1,2}(?:\/|$)/i
const SINGLE_FIELDS: ReadonlySet<string> = new Set(['host', 'content-length', KEY_HEADER, CONTEXT_HEADER])

export interface Head {
  readonly method: string
  /** Path and query as sent by the caller. */
  readonly target: string
  readonly path: string
  readonly host: string
  /** `undefined` for a body of unknown length, 0 without a body. */
  readonly bodyLength: number | undefined
  readonly key: string | undefined
  readonly context: string | undefined
}

/** Checks what the HTTP parser of Node.js accepts although it is ambiguous or leads to another path at a server. */
export function readHead(request: IncomingMessage): Result<Head, Failure> {
  const { method = '', url: target = '', headers, rawHeaders } = request
  if (hasRepeatedField(rawHeaders)) return malformed('a header field that must be single is repeated')
  if (!target.startsWith('/')) return malformed('the request target is not a path')
  const host = headers.host
  if (host === undefined || host === '') return malformed('the host header is missing')
  const query = target.indexOf('?')
  const path = query < 0 ? target : target.slice(0, query)
  if (DOT_SEGMENT.test(path)) return malformed('the path has dot segments')
  const bodyLength = readBodyLength(request)
  if (bodyLength.isErr()) return err(bodyLength.error)
  const key = single(headers[KEY_HEADER])
  return ok({ method, target, path, host, bodyLength: bodyLength.value, key, context: single(headers[CONTEXT_HEADER]) })
}

function readBodyLength({ headers }: IncomingMessage): Result<number | undefined, Failure> {
  const encoding = headers['transfer-encoding']
  const length = headers['content-length']
  if (encoding !== undefined) {
    if (length !== undefined) return malformed('content-length and transfer-encoding conflict')
    return encoding.toLowerCase() === 'chunked' ? ok(undefined) : malformed('the transfer encoding is not supported')
  }
  if (length === undefined) return ok(0)
  return /^\d{1,15}$/.test(length) ? ok(Number(length)) : malformed('the content-length is not a number')
}

function hasRepeatedField(raw: readonly string[]): boolean {
  let seen = ''
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index]?.toLowerCase() ?? ''
    if (!SINGLE_FIELDS.has(name)) continue
    if (seen.includes(`${name},`)) return true
    seen += `${name},`
  }
  return false
}

/** Header fields for the server, as alternating names and values. */
export function requestFields(request: IncomingMessage, added: readonly string[]): string[] {
  const named = connectionOptions(request.headers.connection)
  const fields: string[] = []
  const raw = request.rawHeaders
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] ?? ''
    const lower = name.toLowerCase()
    const dropped = HOP_BY_HOP.has(lower) || lower === 'content-length' || named?.has(lower) === true
    if (!dropped && !lower.startsWith(SYSTEM_PREFIX)) fields.push(name, raw[index + 1] ?? '')
  }
  fields.push(...added)
  return fields
}

export interface ResponseHead {
  readonly status: number
  /** Alternating names and values for the caller. */
  readonly fields: readonly string[]
  readonly notRun: boolean
  readonly load: Load | undefined
  readonly contentType: string | undefined
  /** Whether the end of the body is marked by more than the end of the connection. */
  readonly delimited: boolean
}

export function readResponseHead(status: number, raw: readonly Buffer[]): ResponseHead {
  const fields: string[] = []
  let notRun = false
  let load: Load | undefined
  let contentType: string | undefined
  let delimited = status === 204 || status === 304
  let named: ReadonlySet<string> | undefined
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index]?.toString('latin1') ?? ''
    const value = raw[index + 1]?.toString('latin1') ?? ''
    const lower = name.toLowerCase()
    if (lower === NOT_RUN_HEADER) notRun = value.trim() === '1'
    else if (lower === LOAD_HEADER) load = parseLoad(value)
    else if (lower === 'connection') named = connectionOptions(value)
    else if (lower === 'content-type') contentType = value
    if (lower === 'content-length' || lower === 'transfer-encoding') delimited = true
    if (!HOP_BY_HOP.has(lower) && !lower.startsWith(SYSTEM_PREFIX)) fields.push(name, value)
  }
  const returned = named === undefined ? fields : withoutNamed(fields, named)
  return { status, fields: returned, notRun, load, contentType, delimited }
}

/** Reads `inflight=2;slots=3;queue=0`; a report that is not well formed is ignored. */
export function parseLoad(text: string): Load | undefined {
  const match = /^\s*inflight=(\d{1,9})\s*;\s*slots=(\d{1,9})\s*;\s*queue=(\d{1,9})\s*$/.exec(text)
  if (match === null) return undefined
  return { inflight: Number(match[1]), slots: Number(match[2]), queue: Number(match[3]) }
}

function withoutNamed(fields: readonly string[], named: ReadonlySet<string>): string[] {
  const kept: string[] = []
  for (let index = 0; index < fields.length; index += 2) {
    const name = fields[index] ?? ''
    if (!named.has(name.toLowerCase())) kept.push(name, fields[index + 1] ?? '')
  }
  return kept
}

/** Fields that a `connection` header declares to be hop-by-hop. */
function connectionOptions(value: string | undefined): ReadonlySet<string> | undefined {
  if (value === undefined) return undefined
  const lower = value.toLowerCase()
  if (lower === 'keep-alive' || lower === 'close') return undefined
  return new Set(lower.split(',').map((option) => option.trim()))
}

function single(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

function malformed(reason: string): Result<never, Failure> {
  return err(failure('malformedHead', reason))
}
