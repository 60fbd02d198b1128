/**
 * Client for the operator API. Reads try the configured nodes in order until one responds. A change whose response is
 * lost is sent again with the same change id until its result is known. If the time limit ends before that, the result
 * is reported as unknown.
 */
import { readFile } from 'node:fs/promises'
import { setTimeout as sleep } from 'node:timers/promises'
import { errorMessage, failure, RESULT_CODES, type CodeName, type Failure } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import type { z } from 'zod'
import { acceptedSchema, problemSchema, type AcceptedChange, type Change, type ProblemBody } from './operator-api'

const ATTEMPT_TIMEOUT_MS = 5000
const RETRY_DELAY_MS = 200

/** Result codes after which the same change is sent again. */
const RETRYABLE_CODES: ReadonlySet<number> = new Set(
  [RESULT_CODES.changeUnknown, RESULT_CODES.noQuorum, RESULT_CODES.notLeader, RESULT_CODES.internal].map(
    (code) => code.number,
  ),
)

/** Retryable result codes that guarantee that the change was not applied. */
const NOT_APPLIED_CODES: ReadonlySet<CodeName> = new Set(['noQuorum', 'notLeader'])

const CODE_NAMES = new Map<number, CodeName>(
  Object.entries(RESULT_CODES).map(([name, code]) => [code.number, name as CodeName]),
)

export interface OperatorClientOptions {
  /** Operator listeners as `address:port`. */
  readonly nodes: readonly string[]
  readonly keyFile: string
}

/** Failure of a request, with the problem document if a node sent one. */
export interface OperatorFailure extends Failure {
  readonly problem?: ProblemBody
}

export interface SubmitOptions {
  readonly change: Change
  readonly retryLimitMs: number
  /** Called with the reason before each retry. */
  readonly onRetry?: (reason: string) => void
}

type Attempt =
  | { readonly kind: 'response'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'failed'; readonly sent: boolean; readonly reason: string }

export class OperatorClient {
  readonly #nodes: readonly string[]
  readonly #key: string

  private constructor(nodes: readonly string[], key: string) {
    this.#nodes = nodes
    this.#key = key
  }

  /** Errors: `file-unreadable` if the key file cannot be read. */
  static async create(options: OperatorClientOptions): Promise<Result<OperatorClient, Failure>> {
    try {
      const key = (await readFile(options.keyFile, 'utf8')).trim()
      return ok(new OperatorClient(options.nodes, key))
    } catch (cause) {
      return err(failure('fileUnreadable', `operator key: ${errorMessage(cause)}`))
    }
  }

  /** Errors: the result code returned by the node, `node-unreachable` or `response-malformed`. */
  async get<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.output<Schema>, OperatorFailure>> {
    return this.#requestAnyNode('GET', path, schema)
  }

  async post<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.output<Schema>, OperatorFailure>> {
    return this.#requestAnyNode('POST', path, schema)
  }

  async submit(options: SubmitOptions): Promise<Result<AcceptedChange, OperatorFailure>> {
    const end = performance.now() + options.retryLimitMs
    let maybeApplied = false
    for (let position = 0; ; position += 1) {
      const node = this.#nodes[position % this.#nodes.length] ?? ''
      const attempt = await this.#attempt(node, 'POST', '/v1/changes', options.change)
      const result =
        attempt.kind === 'response'
          ? decodeResponse(attempt, acceptedSchema)
          : nodeUnreachableError(node, attempt.reason)
      if (result.isOk() || isFinal(attempt, result.error)) return result
      maybeApplied ||= mayHaveApplied(attempt, result.error)
      const { message } = result.error
      if (performance.now() > end)
        return maybeApplied ? err(unknownResultFailure(options.change.changeId, message)) : result
      options.onRetry?.(message)
      await sleep(RETRY_DELAY_MS)
    }
  }

  async #requestAnyNode<Schema extends z.ZodType>(
    method: 'GET' | 'POST',
    path: string,
    schema: Schema,
  ): Promise<Result<z.output<Schema>, OperatorFailure>> {
    let last: Result<z.output<Schema>, OperatorFailure> = err(failure('nodeUnreachable', 'no nodes are configured'))
    for (const node of this.#nodes) {
      const attempt = await this.#attempt(node, method, path)
      last = attempt.kind === 'response' ? decodeResponse(attempt, schema) : nodeUnreachableError(node, attempt.reason)
      if (attempt.kind === 'response' && attempt.status < 500) return last
    }
    return last
  }

  async #attempt(node: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Attempt> {
    try {
      // Imported here, because running a node does not need it and its import takes long.
      const { request } = await import('undici')
      const response = await request(`http://${node}${path}`, {
        method,
        headers: { authorization: `Bearer ${this.#key}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
      })
      const text = await response.body.text()
      return { kind: 'response', status: response.statusCode, body: parseJson(text) }
    } catch (cause) {
      const code = cause instanceof Error && 'code' in cause ? cause.code : undefined
      return { kind: 'failed', sent: code !== 'ECONNREFUSED', reason: errorMessage(cause) }
    }
  }
}

function isFinal(attempt: Attempt, cause: OperatorFailure): boolean {
  if (attempt.kind === 'failed') return false
  if (cause.code === 'responseMalformed') return attempt.status >= 400 && attempt.status < 500
  return !RETRYABLE_CODES.has(RESULT_CODES[cause.code].number)
}

function mayHaveApplied(attempt: Attempt, cause: OperatorFailure): boolean {
  return attempt.kind === 'failed' ? attempt.sent : !NOT_APPLIED_CODES.has(cause.code)
}

function decodeResponse<Schema extends z.ZodType>(
  attempt: { readonly status: number; readonly body: unknown },
  schema: Schema,
): Result<z.output<Schema>, OperatorFailure> {
  if (attempt.status < 300) {
    const parsed = schema.safeParse(attempt.body)
    return parsed.success ? ok(parsed.data) : err(failure('responseMalformed', parsed.error.message))
  }
  const problem = problemSchema.safeParse(attempt.body)
  const name = problem.success ? CODE_NAMES.get(problem.data.code) : undefined
  if (!problem.success || name === undefined)
    return err(failure('responseMalformed', `unexpected HTTP status ${attempt.status}`))
  return err({ ...failure(name, problem.data.detail), problem: problem.data })
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function nodeUnreachableError(node: string, reason: string): Result<never, OperatorFailure> {
  return err(failure('nodeUnreachable', `${node}: ${reason}`))
}

function unknownResultFailure(changeId: string, reason: string): OperatorFailure {
  const hint = `Repeat the command with --change-id ${changeId} to find it out.`
  return failure('changeUnknown', `the result of change ${changeId} is unknown (${reason}). ${hint}`)
}
