/**
 * Planned stop as a sequence of named steps. Every step has its own time limit, and all of them end at a common time, so
 * that no step can keep the process running; a step that takes long is reported while it runs, and each step that does not complete is reported by name.
 */
import { errorMessage } from '@bilberrystall/base'

/** Time after which a running step is reported. */
const SLOW_STEP_MS = 1_000

export interface ShutdownStep {
  readonly name: string
  readonly limitMs: number
  readonly run: () => Promise<void>
}

export type ShutdownStepResult =
  { readonly kind: 'done' } | { readonly kind: 'timed-out' } | { readonly kind: 'failed'; readonly message: string }

export interface ShutdownOptions {
  /** Monotonic time in ms at which all steps end. A step that begins later is run, but not waited for. */
  readonly endsAt?: number

  /** The step has been running for a second and may take until its limit. */
  readonly onSlow?: (step: ShutdownStep) => void
  readonly onIncomplete?: (step: ShutdownStep, result: Exclude<ShutdownStepResult, { kind: 'done' }>) => void
}

/** Runs the steps one after the other. A step that fails or reaches its limit does not prevent the next ones. */
export async function runShutdown(steps: readonly ShutdownStep[], options: ShutdownOptions = {}): Promise<void> {
  const { endsAt = Number.POSITIVE_INFINITY, onIncomplete } = options
  for (const { name, limitMs, run } of steps) {
    const remainingMs = Math.max(0, endsAt - performance.now())
    const step = { name, limitMs: Math.min(limitMs, remainingMs), run }
    const result = await runStep(step, options)
    if (result.kind !== 'done') onIncomplete?.(step, result)
  }
}

async function runStep(step: ShutdownStep, { onSlow }: ShutdownOptions): Promise<ShutdownStepResult> {
  const slow = setTimeout(() => onSlow?.(step), SLOW_STEP_MS)
  let limit: NodeJS.Timeout | undefined
  const timedOut = new Promise<ShutdownStepResult>((resolve) => {
    limit = setTimeout(() => {
      resolve({ kind: 'timed-out' })
    }, step.limitMs)
  })
  const result = await Promise.race([runToEnd(step), timedOut])
  clearTimeout(slow)
  clearTimeout(limit)
  return result
}

async function runToEnd(step: ShutdownStep): Promise<ShutdownStepResult> {
  try {
    await step.run()
    return { kind: 'done' }
  } catch (cause) {
    return { kind: 'failed', message: errorMessage(cause) }
  }
}
