/** Steps of the planned stop of a node: first the work that others wait for, then the resources. */
import type { RpcServer } from '@bilberrystall/rpc'
import type { ControlSupervisor } from './control-supervisor'
import type { EntryRole } from './entry-role'
import type { Listener } from './listener'
import type { Log } from './log'
import { runShutdown, type ShutdownStep } from './shutdown'

/** Limit of the transfer of leadership, which runs while calls in flight end. */
const TRANSFER_LIMIT_MS = 2_500
/** Limit of each step that closes resources. Nothing that callers wait for is left at that time. */
const CLOSE_STEP_LIMIT_MS = 300
/** Time that a stop may take beyond the limit of the work. The platform kills the process soon after. */
const CLOSE_LIMIT_MS = 400

/** Parts of a node that has started at least in part. */
export interface NodeParts {
  readonly entry: EntryRole | undefined
  /** Time that the entry may take to finish its calls. */
  readonly drainLimitMs: number
  readonly controlSupervisor: Pick<ControlSupervisor, 'control' | 'stop'> | undefined
  readonly rpc: RpcServer | undefined
  readonly listeners: readonly Listener[]
}

export interface StopOptions {
  readonly log: Log
  /** Monotonic time in ms at which the stop ends. */
  readonly endsAt: number
}

/** Monotonic time in ms at which a stop that begins at `now` ends, whatever its steps take. */
export function stopEnd({ drainLimitMs }: NodeParts, now: number): number {
  return now + Math.max(TRANSFER_LIMIT_MS, drainLimitMs) + CLOSE_LIMIT_MS
}

/** Transfers leadership while calls in flight end. Returns false if calls were still running at the limit. */
export async function finishWork(parts: NodeParts, options: StopOptions): Promise<boolean> {
  const { entry, drainLimitMs, controlSupervisor } = parts
  let finished = true
  const transfer: ShutdownStep = {
    name: 'transfer-leadership',
    limitMs: TRANSFER_LIMIT_MS,
    run: async () => controlSupervisor?.control?.leave(),
  }
  const drain: ShutdownStep = {
    name: 'drain',
    limitMs: drainLimitMs + CLOSE_STEP_LIMIT_MS,
    run: async () => {
      finished = (await entry?.drain()) ?? true
    },
  }
  await Promise.all([runSteps([transfer], options), runSteps([drain], options)])
  return finished
}

export function closeParts(parts: NodeParts, options: StopOptions): Promise<void> {
  const { entry, controlSupervisor, rpc, listeners } = parts
  const closeStep = (name: string, run: () => Promise<void>): ShutdownStep => {
    return { name, limitMs: CLOSE_STEP_LIMIT_MS, run }
  }
  const steps = [
    closeStep('end-control-work', async () => controlSupervisor?.stop()),
    closeStep('close-entry', async () => entry?.stop()),
    closeStep('close-control', async () => controlSupervisor?.control?.stop()),
    closeStep('close-rpc', async () => rpc?.close()),
    closeStep('close-listeners', async () => {
      await Promise.all(listeners.map((listener) => listener.close()))
    }),
  ]
  return runSteps(steps, options)
}

function runSteps(steps: readonly ShutdownStep[], { log, endsAt }: StopOptions): Promise<void> {
  return runShutdown(steps, {
    endsAt,
    onSlow: ({ name, limitMs }) => {
      log.info('stopStepSlow', { step: name, limitMs })
    },
    onIncomplete: ({ name, limitMs }, result) => {
      const reason = result.kind === 'failed' ? result.message : result.kind
      log.warn('stopStepIncomplete', { step: name, limitMs, reason })
    },
  })
}
