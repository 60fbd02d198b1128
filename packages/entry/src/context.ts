/**
 * Call context: what nested calls inherit. Servers copy the signed header `bilberrystall-context` to the calls they
 * make, so every entry on the way sees the deadline, the attempts left and the services already passed.
 */
import { createHash, createHmac, timingSafeEqual } from 'node:crypto'
import { failure, type Failure, type ServiceName } from '@bilberrystall/base'
import type { Urgency } from '@bilberrystall/routing'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'

export const MAX_DEPTH = 22
/** A context is accepted for this long after its deadline, to answer a nested call that comes too late as such. */
const LATE_MS = 30_000
/** 72 bits: a false match within one path of 22 steps is out of the question. */
const STEP_CHARACTERS = 12

export interface CallContext {
  /** Unix ms; the clocks of system VMs agree within 1 s. */
  readonly deadline: number
  readonly attempts: number
  readonly urgency: Urgency
  /** Digests of service, method and path of the calls on the way, outermost first; the length is the depth. */
  readonly steps: readonly string[]
}

const encoded = z.strictObject({
  d: z.number(),
  a: z.number().int().min(0),
  u: z.enum(['urgent', 'deferrable']),
  s: z.array(z.string().length(STEP_CHARACTERS)).max(MAX_DEPTH),
})

export class ContextCodec {
  readonly #key: Buffer

  constructor(nodeKey: string) {
    this.#key = createHash('sha256').update('bilberrystall-context\0').update(nodeKey).digest()
  }

  sign(context: CallContext): string {
    const body = { d: context.deadline, a: context.attempts, u: context.urgency, s: context.steps }
    const text = Buffer.from(JSON.stringify(body)).toString('base64url')
    return `${text}.${this.#digest(text)}`
  }

  /** Undefined when the header is unsigned, altered or long expired; the call then counts as an outermost one. */
  verify(header: string, now: number): CallContext | undefined {
    const dot = header.indexOf('.')
    const text = header.slice(0, Math.max(0, dot))
    const given = Buffer.from(header.slice(dot + 1))
    const wanted = Buffer.from(this.#digest(text))
    if (given.length !== wanted.length || !timingSafeEqual(given, wanted)) return undefined
    const parsed = encoded.safeParse(parseJson(text))
    if (!parsed.success || parsed.data.d + LATE_MS <= now) return undefined
    const { d: deadline, a: attempts, u: urgency, s: steps } = parsed.data
    return { deadline, attempts, urgency, steps }
  }

  #digest(text: string): string {
    return createHmac('sha256', this.#key).update(text).digest('base64url')
  }
}

export interface Step {
  readonly service: ServiceName
  readonly method: string
  readonly path: string
}

/** Adds a step; fails when the same call is already on the way or the path is too long. */
export function extendSteps(steps: readonly string[], step: Step): Result<readonly string[], Failure> {
  if (steps.length >= MAX_DEPTH) return err(failure('loop', `nested calls are deeper than ${MAX_DEPTH}`))
  const digest = stepDigest(step)
  if (steps.includes(digest)) {
    return err(failure('loop', `${step.method} ${step.path} of service ${step.service} is already on the path`))
  }
  return ok([...steps, digest])
}

function stepDigest(step: Step): string {
  const text = `${step.service}\0${step.method}\0${step.path}`
  return createHash('sha256').update(text).digest('base64url').slice(0, STEP_CHARACTERS)
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(Buffer.from(text, 'base64url').toString())
  } catch {
    return undefined
  }
}
