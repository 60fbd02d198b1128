/** Typed failures: a result code with a human-readable message. Fallible operations return them inside a `Result`. */
import { RESULT_CODES, type CodeName, type ResultCode } from './result-code'

export interface Failure {
  readonly code: CodeName
  readonly message: string
  /** Time in ms after which a refused request may be accepted, if it is known. */
  readonly retryAfterMs?: number
}

/** A validation fault of a settings file or document. */
export interface Fault {
  readonly section: string
  readonly key: string
  readonly reason: string
}

/** RFC 9457 problem document with the extension members `code` and `outcome`. */
export interface Problem {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly code: number
  readonly outcome?: string
}

export function failure(code: CodeName, message?: string): Failure {
  return { code, message: message ?? RESULT_CODES[code].meaning }
}

export function resultCode(name: CodeName): ResultCode {
  return RESULT_CODES[name]
}

export function toProblem(cause: Failure): Problem {
  const definition = resultCode(cause.code)
  const base = {
    type: `urn:bilberrystall:result:${definition.name}`,
    title: definition.meaning,
    status: definition.status === 0 ? 500 : definition.status,
    detail: cause.message,
    code: definition.number,
  }
  return definition.outcome === undefined ? base : { ...base, outcome: definition.outcome }
}

/** Returns the message of an unknown thrown value. */
export function errorMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause)
}

export function formatFault(fault: Fault): string {
  const location = fault.key === '' ? `[${fault.section}]` : `[${fault.section}] ${fault.key}`
  return `${location}: ${fault.reason}`
}
