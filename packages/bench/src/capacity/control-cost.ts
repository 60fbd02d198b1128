/** Costs of the control state machine: memory of its state, CPU of a change, and size and time of a snapshot. */
import { environmentName, revision } from '@bilberrystall/base'
import {
  applyCommand,
  decodeCommand,
  emptyState,
  encodeCommand,
  decodeSnapshot,
  encodeSnapshot,
  type ControlState,
  type SubmitCommand,
} from '@bilberrystall/control'
import { cpuMicrosecondsPerUnit, retainedBytes } from './measure-cost'
import type { Measurement } from './slope'

const DOCUMENT_BYTES = 2_000
const DOCUMENTS_PER_ENVIRONMENT = 20
const LARGE_DOCUMENT_BYTES = 64 * 1024
const CHANGES_PER_READING = 200
const CHANGE_COUNTS = [500, 1_000, 2_000, 5_000, 10_000]

/** Creates a document of the given size that is unique for each index. */
export function createDocument(index: number, bytes: number): string {
  return `# ${index}\n`.padEnd(bytes, '# a comment line of a document\n')
}

export function createSubmitCommand(
  index: number,
  bytes = DOCUMENT_BYTES,
  environment = 'trial',
  baseRevisionNumber = index - 1,
): SubmitCommand {
  return {
    kind: 'submit',
    at: index,
    requester: 'bench',
    source: '127.0.0.1',
    changeId: `change-${environment}-${index}`,
    environment: environmentName(environment),
    baseRevision: revision(baseRevisionNumber),
    content: { validity: 'valid', text: createDocument(index, bytes) },
  }
}

function applyExpecting(state: ControlState, command: SubmitCommand, expected: 'accepted' | 'refused'): void {
  const { result } = applyCommand(state, command)
  const kind = 'result' in result ? result.result.kind : result.kind
  if (kind !== expected) throw new Error(`change was ${kind}, expected ${expected}`)
}

/** Creates the state after accepted changes of one environment. */
function stateWithChanges(count: number): ControlState {
  const state = emptyState()
  for (let index = 1; index <= count; index += 1) applyExpecting(state, createSubmitCommand(index), 'accepted')
  return state
}

const cachedStates = new Map<number, ControlState>()

/** Returns the same state for every call with one count, since taking a snapshot does not change it. */
function cachedStateWithChanges(count: number): ControlState {
  const state = cachedStates.get(count) ?? stateWithChanges(count)
  cachedStates.set(count, state)
  return state
}

function stateWithDocuments(count: number): ControlState {
  const state = emptyState()
  for (let index = 0; index < count; index += 1) {
    const environment = `environment-${Math.floor(index / DOCUMENTS_PER_ENVIRONMENT)}`
    const command = createSubmitCommand(1 + (index % DOCUMENTS_PER_ENVIRONMENT), LARGE_DOCUMENT_BYTES, environment)
    // Decoding gives the strings the same representation in memory as on a replica.
    const stored = decodeCommand(encodeCommand(command))._unsafeUnwrap()
    applyCommand(state, stored)
  }
  return state
}

function stateWithAuditRecords(count: number): ControlState {
  const state = emptyState()
  const refusal = { kind: 'refuse', requester: 'bench', source: '127.0.0.1', code: 'revisionConflict' } as const
  for (let index = 0; index < count; index += 1) {
    applyCommand(state, { ...refusal, at: index, changeId: `change-${index}`, environment: environmentName('trial') })
  }
  return state
}

/** Creates the state after refused changes, each of which leaves a result and an audit record but no document. */
function stateWithRefusedChanges(count: number): ControlState {
  const state = emptyState()
  for (let index = 1; index <= count; index += 1)
    applyExpecting(state, createSubmitCommand(index, 100, 'trial', 7), 'refused')
  return state
}

function cpuPerChange(bytes: number): number {
  const state = stateWithChanges(1)
  const commands = Array.from({ length: CHANGES_PER_READING }, (_, index) =>
    encodeCommand(createSubmitCommand(index + 2, bytes)),
  )
  return cpuMicrosecondsPerUnit(() => {
    for (const data of commands) applyCommand(state, decodeCommand(data)._unsafeUnwrap())
  }, commands.length)
}

function timeInMilliseconds(work: () => unknown): number {
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
    measure: (size) => retainedBytes(() => stateWithDocuments(size)),
  },
  {
    name: 'control memory, audit records',
    per: 'audit records',
    unit: 'bytes',
    sizes: [5_000, 10_000, 25_000, 50_000],
    measure: (size) => retainedBytes(() => stateWithAuditRecords(size)),
  },
  {
    name: 'control memory, results of changes with their audit records',
    per: 'change results',
    unit: 'bytes',
    sizes: [1_000, 2_500, 5_000, 10_000],
    measure: (size) => retainedBytes(() => stateWithRefusedChanges(size)),
  },
  {
    name: 'CPU of one accepted change at a replica (decode and apply)',
    per: 'bytes of document',
    unit: 'µs',
    sizes: [2_000, 16_000, 64_000, 256_000],
    measure: cpuPerChange,
  },
  {
    name: 'snapshot size',
    per: 'changes',
    unit: 'bytes',
    sizes: CHANGE_COUNTS,
    measure: (size) => encodeSnapshot(cachedStateWithChanges(size)).byteLength,
  },
  {
    name: 'time to take a snapshot',
    per: 'changes',
    unit: 'ms',
    sizes: CHANGE_COUNTS,
    measure: (size) => {
      const state = cachedStateWithChanges(size)
      return timeInMilliseconds(() => encodeSnapshot(state))
    },
  },
  {
    name: 'time to restore a snapshot',
    per: 'changes',
    unit: 'ms',
    sizes: CHANGE_COUNTS,
    measure: (size) => {
      const bytes = encodeSnapshot(cachedStateWithChanges(size))
      return timeInMilliseconds(() => decodeSnapshot(bytes)._unsafeUnwrap())
    },
  },
]
