/** Compares what a caller got with what the server's own record says about its attempt. */
import type { CallResult } from '../harness'
import type { RecordedResponse } from './stuttering-server'

/** Statuses that promise that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503])
/** Fields that an entry adds to a response. */
const ENTRY_FIELDS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'date',
  'idempotent-replayed',
  'keep-alive',
  'transfer-encoding',
])
const SERVER_FIELDS = ['x-attempt', 'x-signature', 'x-answer', 'link'] as const

export interface AuditedCall {
  readonly method: 'GET' | 'POST'
  /** Undefined if the connection ended without a whole response. */
  readonly result: CallResult | undefined
  readonly records: readonly RecordedResponse[]
  /** Whether bytes that belong to no request may have preceded the response. */
  readonly mayFail: boolean
}

/** Returns what is wrong with the result of a call; empty if nothing is. */
export function auditCall({ method, result, records, mayFail }: AuditedCall): string[] {
  const wrong: string[] = []
  const runs = records.filter(({ ran }) => ran).length
  if (method === 'POST' && runs > 1) wrong.push('a POST ran twice')
  if (result === undefined) return mayFail ? wrong : [...wrong, 'the connection of the caller ended']
  const { status, headers } = result
  if (NOT_RUN_STATUSES.has(status) && runs > 0) wrong.push(`${status} about a request that ran`)
  if (headers['content-type'] === 'application/problem+json') {
    if (SERVER_FIELDS.some((name) => name in headers)) wrong.push('an answer of the entry has fields of a server')
    if (status === 502 || status === 504) {
      if (!mayFail) wrong.push(`${status} behind no extra bytes`)
      else if (status === 504) wrong.push('504 in place of 502')
    } else if (records.at(-1)?.status !== status) wrong.push(`${status} that no server gave`)
    return wrong
  }
  const sameStatus = records.filter((record) => record.status === status)
  if (sameStatus.length === 0) {
    const given = records.map((record) => record.status).join(', ')
    wrong.push(`${status}${'x-signature' in headers ? ' with a signature' : ''} in place of ${given}`)
  } else if (!sameStatus.some((record) => hasSameFields(record, headers))) {
    wrong.push('fields of another response')
  }
  if (!records.some(({ body }) => body === result.text)) wrong.push('a body of another response')
  if (status < 300 && headers['x-signature'] === undefined) wrong.push('a success without a signature')
  return wrong
}

function hasSameFields({ fields }: RecordedResponse, headers: CallResult['headers']): boolean {
  const names = Object.keys(headers).filter((name) => !ENTRY_FIELDS.has(name))
  return names.length === Object.keys(fields).length && names.every((name) => headers[name] === fields[name])
}
