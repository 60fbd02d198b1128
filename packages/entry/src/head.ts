/**
 * Heads of HTTP messages: validates the heads of callers' requests and copies header fields between callers and
 * servers. Hop-by-hop fields and internal fields of the system are not copied.
 */
import type { IncomingMessage } from 'node:http'
import { attemptId, failure, type AttemptId, type Failure } from '@bilberrystall/base'
import type { Load } from '@bilberrystall/routing'
import { err, ok, type Result } from 'neverthrow'
import { isCredentialField } from './authentication'
import { parseRateLimit, type Dialect } from './dialect'
import {
  decodeRelayResult,
  parseInteger,
  readRelayFields,
  RELAY_RESULT_HEADER,
  RELAY_REVISION_HEADER,
  type RelayFields,
  type RelayResult,
} from './relay-protocol'

export const SYSTEM_PREFIX = 'bilberrystall-'
/** 421 Misdirected Request: another process than the one named in the request received it. */
export const MISDIRECTED = 421
export const CONTEXT_HEADER = 'bilberrystall-context'
export const QUEUE_LIMIT_HEADER = 'bilberrystall-queue-limit'
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])

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
/** Without chunks as its last coding, a body ends with its connection (RFC 9112, 6.3). */
const CHUNKED = /(?:^|,)\s*chunked\s*$/i
const DOT_SEGMENT = /\/(?:\.|%2e){1,2}(?:\/|$)/i
const SINGLETON_FIELDS: ReadonlySet<string> = new Set([
  'host',
  'content-length',
  IDEMPOTENCY_KEY_HEADER,
  CONTEXT_HEADER,
])

export interface RequestHead {
  readonly method: string
  /** Path and query as sent by the caller. */
  readonly target: string
  readonly path: string
  readonly host: string
  /** Undefined for a body of unknown length, 0 without a body. */
  readonly bodyLength: number | undefined
  readonly idempotencyKey: string | undefined
  readonly context: string | undefined
  /** Timeout in ms sent by the caller, if the dialect accepts one. */
  readonly callerTimeoutMs: number | undefined
  /** Attempt id sent by the caller, if the dialect has one. */
  readonly attemptId: AttemptId | undefined
  readonly authorization: string | undefined
  /** Fields of a call that another entry passed on. */
  readonly relay: RelayFields | undefined
  /** Size of the head in bytes. */
  readonly bytes: number
}

/**
 * Rejects requests that the HTTP parser of Node.js accepts although they are ambiguous or a server may resolve them to
 * another path.
 */
export function parseRequestHead(request: IncomingMessage, dialect: Dialect): Result<RequestHead, Failure> {
  const { method = '', url: target = '', headers, rawHeaders } = request
  if (hasRepeatedField(rawHeaders)) return malformed('a singleton header field is repeated')
  if (!target.startsWith('/')) return malformed('the request target is not a path')
  const host = headers.host
  if (host === undefined || host === '') return malformed('the host header is missing')
  const query = target.indexOf('?')
  const path = query < 0 ? target : target.slice(0, query)
  if (DOT_SEGMENT.test(path)) return malformed('the path contains dot segments')
  const bodyLength = parseBodyLength(request)
  if (bodyLength.isErr()) return err(bodyLength.error)
  const idempotencyKey = firstValue(headers[IDEMPOTENCY_KEY_HEADER])
  return ok({
    method,
    target,
    path,
    host,
    bodyLength: bodyLength.value,
    idempotencyKey,
    context: firstValue(headers[CONTEXT_HEADER]),
    callerTimeoutMs: dialect.acceptsCallerDeadline
      ? parseTimeMs(firstValue(headers[dialect.deadlineHeader]))
      : undefined,
    attemptId: parseAttemptId(callerAttemptHeader(dialect), headers),
    authorization: headers.authorization,
    relay: readRelayFields((name) => firstValue(headers[name])),
    bytes: headBytes(request),
  })
}

function callerAttemptHeader({ attemptHeader, attemptIds }: Dialect): string | undefined {
  return attemptIds === 'caller' ? attemptHeader : undefined
}

function parseAttemptId(name: string | undefined, headers: IncomingMessage['headers']): AttemptId | undefined {
  const text = name === undefined ? undefined : firstValue(headers[name])
  return text === undefined ? undefined : attemptId(text)
}

/** Parses a cold time in ms, rounded up; a malformed or negative value is ignored. */
function parseWarmUp(text: string): number | undefined {
  return /^\s*\d{1,9}(?:\.\d{1,9})?\s*$/.test(text) ? Math.ceil(Number(text)) : undefined
}

/** Parses whole milliseconds. Other values are ignored, as if the header were absent. */
function parseTimeMs(text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : undefined
}

/** Size of the request line and header fields with separators, without optional white space. */
function headBytes({ method = '', url = '', rawHeaders }: IncomingMessage): number {
  const SEPARATORS = 4
  const fields = rawHeaders.reduce((sum, part) => sum + part.length, 0)
  return method.length + url.length + ' HTTP/1.1'.length + SEPARATORS + fields + rawHeaders.length * 2
}

function parseBodyLength({ headers }: IncomingMessage): Result<number | undefined, Failure> {
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
    if (!SINGLETON_FIELDS.has(name)) continue
    if (seen.includes(`${name},`)) return true
    seen += `${name},`
  }
  return false
}

export interface ForwardedFieldsOptions {
  readonly dialect: Dialect
  /** Fields that the entry adds, as alternating names and values. */
  readonly added: readonly string[]
  /** Whether the credentials of the caller are removed. */
  readonly hidesCredentials?: boolean
}

/** Returns the header fields for a server or another entry, as alternating names and values. */
export function forwardedFields(request: IncomingMessage, options: ForwardedFieldsOptions): string[] {
  const { dialect, added, hidesCredentials = false } = options
  const hopByHop = connectionOptions(request.headers.connection)
  const fields: string[] = []
  const raw = request.rawHeaders
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index] ?? ''
    const lower = name.toLowerCase()
    const dropped = HOP_BY_HOP.has(lower) || lower === 'content-length' || hopByHop?.has(lower) === true
    const isControl = lower === dialect.deadlineHeader || lower === dialect.instanceHeader
    const value = raw[index + 1] ?? ''
    const isHidden = hidesCredentials && isCredentialField(lower, value, dialect)
    if (!dropped && !isControl && !isHidden && !lower.startsWith(SYSTEM_PREFIX)) fields.push(name, value)
  }
  fields.push(...added)
  return fields
}

export interface ResponseHead {
  readonly status: number
  /** Header fields for the caller, as alternating names and values. */
  readonly fields: readonly string[]
  readonly notRun: boolean
  readonly load: Load | undefined
  /** Requests per second that the server accepts from all entries together; undefined without a limit. */
  readonly rateLimit: number | undefined
  /** Time in ms for which the server stays cold; undefined if it does not say. */
  readonly warmUpMs: number | undefined
  readonly contentType: string | undefined
  /** Whether the body is delimited by its length or by chunks, not only by the close of the connection. */
  readonly delimited: boolean
  /** Value of `content-length`. */
  readonly length: number | undefined
  /** Id of the attempt to which the response belongs, if servers return it. */
  readonly attemptId: string | undefined
  /** Instance id of the server process that responded. */
  readonly instance: string | undefined
  readonly signed: boolean
  /** Result of a call that was passed on to another entry, and the revision of the document there. */
  readonly relayResult: RelayResult | undefined
  readonly relayRevision: number | undefined
  readonly retryAfter: string | undefined
  /** Whether the server says that it leaves. */
  readonly isLeaving: boolean
  /** Whether the body has a content encoding, which is invalid because no caller requests one. */
  readonly encoded: boolean
  /** Name of a field on which the entry decides, if it is repeated. */
  readonly repeatedField: string | undefined
}

/** Whether the server reports that it did not run the request, with a status that callers read the same way. */
export function isRefusal({ status, notRun }: ResponseHead): boolean {
  return notRun && NOT_RUN_STATUSES.has(status)
}

/**
 * Whether the response is a refusal that names no attempt. A second copy of it could be taken for the response to the
 * next request, so its connection must not be used again.
 */
export function isUnnamedRefusal({ notRun, attemptId }: ResponseHead): boolean {
  return notRun && attemptId === undefined
}

export function parseResponseHead(status: number, raw: readonly Buffer[], dialect: Dialect): ResponseHead {
  const fields: string[] = []
  let notRun = false
  let load: Load | undefined
  let rateLimit: number | undefined
  let warmUpMs: number | undefined
  let contentType: string | undefined
  let delimited = status === 204 || status === 304
  let hopByHop: ReadonlySet<string> | undefined
  let length: number | undefined
  let attemptId: string | undefined
  let signed = false
  let instance: string | undefined
  let encoded = false
  let relayResult: RelayResult | undefined
  let relayRevision: number | undefined
  let retryAfter: string | undefined
  let isLeaving = false
  const decisive = decisiveFieldsOf(dialect)
  const seen = new Set<string>()
  let repeatedField: string | undefined
  for (let index = 0; index < raw.length; index += 2) {
    const name = raw[index]?.toString('latin1') ?? ''
    const value = raw[index + 1]?.toString('latin1') ?? ''
    const lower = name.toLowerCase()
    if (decisive.has(lower)) {
      if (seen.has(lower)) repeatedField = lower
      seen.add(lower)
    }
    if (lower === dialect.notRunHeader) notRun = dialect.isNotRun(value)
    else if (lower === dialect.loadHeader) load = dialect.readLoad(value)
    else if (lower === dialect.rateLimitHeader) rateLimit = parseRateLimit(value)
    else if (lower === dialect.warmUpHeader) warmUpMs = parseWarmUp(value)
    else if (lower === dialect.attemptHeader) attemptId = value
    else if (lower === dialect.signatureHeader) signed = value !== ''
    else if (lower === dialect.instanceResponseHeader) instance = value
    else if (lower === 'content-encoding') encoded = true
    else if (lower === 'connection') hopByHop = connectionOptions(value)
    else if (lower === 'content-type') contentType = value
    else if (lower === 'retry-after') retryAfter = value
    else if (lower === dialect.leavingHeader) isLeaving = value.trim() === '1'
    else if (lower === RELAY_RESULT_HEADER) relayResult = decodeRelayResult(value)
    else if (lower === RELAY_REVISION_HEADER) relayRevision = parseInteger(value)
    if (lower === 'content-length' || (lower === 'transfer-encoding' && CHUNKED.test(value))) delimited = true
    if (lower === 'content-length') length = Number(value)
    const isInternal = isForEntry(lower, dialect) || lower.startsWith(SYSTEM_PREFIX)
    if (!HOP_BY_HOP.has(lower) && !isInternal) fields.push(name, value)
  }
  const returned = hopByHop === undefined ? fields : withoutFields(fields, hopByHop)
  return {
    status,
    fields: returned,
    notRun,
    load,
    rateLimit,
    warmUpMs,
    contentType,
    delimited,
    length,
    attemptId,
    signed,
    encoded,
    instance,
    relayResult,
    relayRevision,
    retryAfter,
    isLeaving,
    repeatedField,
  }
}

const decisiveFields = new WeakMap<Dialect, ReadonlySet<string>>()

/** Returns the names of the fields of a response on which the entry decides, which may be present at most once. */
function decisiveFieldsOf(dialect: Dialect): ReadonlySet<string> {
  const known = decisiveFields.get(dialect)
  if (known !== undefined) return known
  const { attemptHeader, signatureHeader, instanceResponseHeader } = dialect
  const names = [attemptHeader, signatureHeader, instanceResponseHeader, ...fieldsForEntry(dialect)]
  const fields = new Set(['content-length', 'retry-after', RELAY_RESULT_HEADER, RELAY_REVISION_HEADER])
  for (const name of names) if (name !== undefined) fields.add(name)
  decisiveFields.set(dialect, fields)
  return fields
}

/** Whether a field of a response is a statement of the server to the entry, which callers do not get. */
function isForEntry(name: string, dialect: Dialect): boolean {
  return fieldsForEntry(dialect).includes(name)
}

function fieldsForEntry(dialect: Dialect): readonly (string | undefined)[] {
  const { loadHeader, notRunHeader, rateLimitHeader, leavingHeader, warmUpHeader } = dialect
  return [loadHeader, notRunHeader, rateLimitHeader, leavingHeader, warmUpHeader]
}

function withoutFields(fields: readonly string[], hopByHop: ReadonlySet<string>): string[] {
  const remaining: string[] = []
  for (let index = 0; index < fields.length; index += 2) {
    const name = fields[index] ?? ''
    if (!hopByHop.has(name.toLowerCase())) remaining.push(name, fields[index + 1] ?? '')
  }
  return remaining
}

/** Returns the names of the fields that a `connection` header declares hop-by-hop. */
function connectionOptions(value: string | undefined): ReadonlySet<string> | undefined {
  if (value === undefined) return undefined
  const lower = value.toLowerCase()
  if (lower === 'keep-alive' || lower === 'close') return undefined
  return new Set(lower.split(',').map((option) => option.trim()))
}

function firstValue(value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

function malformed(reason: string): Result<never, Failure> {
  return err(failure('malformedHead', reason))
}
