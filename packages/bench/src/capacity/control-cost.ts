/** Costs of the control state machine: memory of what it keeps, CPU of a change, size and time of a snapshot. */
import { environmentName, revision } from '@bilberrystall/base'
import {
  applyCommand,
  decodeCommand,
  emptyState,
  encodeCommand,
  restore,
  snapshot,
  type ControlState,
  type Submit,
} from '@bilberrystall/control'
import { cpuMicrosecondsOf, retainedBytes } from './probe'
import type { Measurement } from './slope'

const DOCUMENT_BYTES = 2_000
const KEPT_PER_ENVIRONMENT = 20
const KEPT_DOCUMENT_BYTES = 64 * 1024
const CHANGES_PER_READING = 200
const HISTORY_SIZES = [500, 1_000, 2_000, 5_000, 10_000]

/** A document of this many bytes that differs from the others. */
export function documentText(index: number, bytes: number): string {
  return `# ${index}\n`.padEnd(bytes, '# a comment line of a document\n')
}

export function submit(index: number, bytes = DOCUMENT_BYTES, environment = 'trial', base = index - 1): Submit {
  return {
    kind: 'submit',
    at: index,
    requester: 'bench',
    source: '127.0.0.1',
    changeId: `change-${environment}-${index}`,
    environment: environmentName(environment),
    baseRevision: revision(base),
    content: { validity: 'valid', text: documentText(index, bytes) },
  }
}

function apply(state: ControlState, command: Submit, expected: 'accepted' | 'refused'): void {
  const { result } = applyCommand(state, command)
  const kind = 'result' in result ? result.result.kind : result.kind
  if (kind !== expected) throw new Error(`change was ${kind}, expected ${expected}`)
}

/** State after accepted changes of one environment. */
function changed(count: number): ControlState {
  const state = emptyState()
  for (let index = 1; index <= count; index += 1) apply(state, submit(index), 'accepted')
  return state
}

const histories = new Map<number, ControlState>()

/** The same state at every call, since taking a snapshot does not change it. */
function history(count: number): ControlState {
  const state = histories.get(count) ?? changed(count)
  histories.set(count, state)
  return state
}

function keptDocuments(count: number): ControlState {
  const state = emptyState()
  for (let index = 0; index < count; index += 1) {
    const environment = `environment-${Math.floor(index / KEPT_PER_ENVIRONMENT)}`
    const command = submit(1 + (index % KEPT_PER_ENVIRONMENT), KEPT_DOCUMENT_BYTES, environment)
    // The round trip through bytes gives the strings the form that they have on a replica.
    const stored = decodeCommand(encodeCommand(command))._unsafeUnwrap()
    applyCommand(state, stored)
  }
  return state
}

function auditRecords(count: number): ControlState {
  const state = emptyState()
  const origin = { kind: 'refuse', requester: 'bench', source: '127.0.0.1', code: 'revisionConflict' } as const
  for (let index = 0; index < count; index += 1) {
    applyCommand(state, { ...origin, at: index, changeId: `change-${index}`, environment: environmentName('trial') })
  }
  return state
}

/** Refused changes: each leaves a result and an audit record and no document. */
function changeResults(count: number): ControlState {
  const state = emptyState()
  for (let index = 1; index <= count; index += 1) apply(state, submit(index, 100, 'trial', 7), 'refused')
  return state
}

function changeCpu(bytes: number): number {
  const state = changed(1)
  const commands = Array.from({ length: CHANGES_PER_READING }, (_, index) => encodeCommand(submit(index + 2, bytes)))
  return cpuMicrosecondsOf(() => {
    for (const data of commands) applyCommand(state, decodeCommand(data)._unsafeUnwrap())
  }, commands.length)
}

function milliseconds(work: () => unknown): number {
  const start = performance.now()
  work()
  return performance.now() - start
}

export const controlMeasurements: readonly Measurement[] = [
  {
    name: 'control memory, documents of 64 KiB',
    per: 'kept documents',
    unit: 'bytes',
    sizes: [20, 40, 80, 160],
    measure: (size) => retainedBytes(() => keptDocuments(size)),
  },
  {
    name: 'control memory, audit records',
    per: 'audit records',
    unit: 'bytes',
    sizes: [5_000, 10_000, 25_000, 50_000],
    measure: (size) => retainedBytes(() => auditRecords(size)),
  },
  {
    name: 'control memory, results of changes with their audit records',
    per: 'change results',
    unit: 'bytes',
    sizes: [1_000, 2_500, 5_000, 10_000],
    measure: (size) => retainedBytes(() => changeResults(size)),
  },
  {
    name: 'CPU of one accepted change at a replica (decode and apply)',
    per: 'bytes of document',
    unit: 'µs',
    sizes: [2_000, 16_000, 64_000, 256_000],
    measure: changeCpu,
  },
  {
    name: 'snapshot size',
    per: 'changes',
    unit: 'bytes',
    sizes: HISTORY_SIZES,
    measure: (size) => snapshot(history(size)).byteLength,
  },
  {
    name: 'time to take a snapshot',
    per: 'changes',
    unit: 'ms',
    sizes: HISTORY_SIZES,
    measure: (size) => {
      const state = history(size)
      return milliseconds(() => snapshot(state))
    },
  },
  {
    name: 'time to restore a snapshot',
    per: 'changes',
    unit: 'ms',
    sizes: HISTORY_SIZES,
    measure: (size) => {
      const bytes = snapshot(history(size))
      return milliseconds(() => restore(bytes)._unsafeUnwrap())
    },
  },
]
