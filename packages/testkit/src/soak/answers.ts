/**
 * Checks the answers that callers received against the records of the servers: each is whole, belongs to its request, and
 * was given by a server or by an entry. Has no side effects.
 */
import { RESULT_CODES, type Problem } from '@bilberrystall/base'
import type { ServerResponseRecord } from '../execution-record'
import { sha256 } from '../response-body'

const PROBLEM_TYPE_PREFIX = 'urn:bilberrystall:result:'
/** Statuses that promise that the request has not run. */
const REFUSAL_STATUSES = [429, 503]
const MAX_SHOWN_BODY = 200

export interface ReceivedAnswer {
  readonly requestId: string
  readonly status: number
  /** Value of the field `x-request-id`; empty without one. */
  readonly responseId: string
  readonly text: string
}

/** Records of all servers by request id. */
export interface ServerRecords {
  readonly executions: ReadonlyMap<string, number>
  readonly responses: ReadonlyMap<string, readonly ServerResponseRecord[]>
}

/** Returns a description of each violation. */
export function checkAnswer(records: ServerRecords, answer: ReceivedAnswer): readonly string[] {
  const { requestId, status, responseId, text } = answer
  const problem = readProblem(text)
  const violations: string[] = []
  const shown = `${requestId} was answered ${status} ${JSON.stringify(text.slice(0, MAX_SHOWN_BODY))}`
  if (problem === undefined && !isOfServer(records, answer)) violations.push(`${shown}, as no server and no entry did`)
  if (problem !== undefined && !isOfEntry(problem, status)) violations.push(`${shown}, as no entry does`)
  if (responseId !== '' && responseId !== requestId)
    violations.push(`${shown} with a field of the response to ${responseId}`)
  const isRefused = REFUSAL_STATUSES.includes(status) || problem?.outcome === 'not-run'
  if (isRefused && records.executions.has(requestId)) violations.push(`${shown}, although it ran`)
  return violations
}

function isOfServer({ responses }: ServerRecords, { requestId, status, text }: ReceivedAnswer): boolean {
  const digest = sha256(text)
  return responses.get(requestId)?.some((each) => each.status === status && each.bodyDigest === digest) === true
}

function isOfEntry({ status, code, outcome }: Problem, receivedStatus: number): boolean {
  const definition = Object.values(RESULT_CODES).find(({ number }) => number === code)
  return status === receivedStatus && definition?.status === status && definition.outcome === outcome
}

/** Undefined for the body of a response that an entry did not write itself. */
function readProblem(text: string): Problem | undefined {
  try {
    const body = JSON.parse(text) as Partial<Problem> | null
    return body?.type?.startsWith(PROBLEM_TYPE_PREFIX) === true ? (body as Problem) : undefined
  } catch {
    return undefined
  }
}
