/** Costs of at-most-once claims: memory per key at a holder, CPU per claim, and bytes of a call at all five holders. */
import { attemptId, seededRandom, type IdempotencyKey } from '@bilberrystall/base'
import { createKey, HOLDERS_PER_KEY, ClaimTable, type KeyUse } from '@bilberrystall/claims'
import { claimReplyToWire, endingToWire, recordReplyToWire } from '@bilberrystall/entry/claim-codec'
import {
  ClaimRequestSchema,
  ClaimResponseSchema,
  CompleteRequestSchema,
  RecordResponseSchema,
} from '@bilberrystall/rpc'
import { create, toBinary } from '@bufbuild/protobuf'
import { cpuMicrosecondsPerUnit, retainedBytes } from './measure-cost'
import type { Measurement } from './slope'

const START = 1_790_000_000_000
/** Creation time of the keys, late enough after the start of the holder that it votes on them. */
const KEY_TIME = START + 60_000
const RETENTION_MS = 3_600_000
const CLAIM_RUN_MS = 10_000
/** Large enough that the table never refuses a claim. */
const TABLE_BYTES = 2 ** 30
const CLAIMS_PER_READING = 20_000

function createKeys(count: number, seed: number): IdempotencyKey[] {
  const random = seededRandom(seed)
  const bytes = () => Uint8Array.from({ length: 10 }, () => Math.floor(random() * 256))
  return Array.from({ length: count }, () => createKey(KEY_TIME, bytes()))
}

function createKeyUse(key: IdempotencyKey): KeyUse {
  const attempt = attemptId(`attempt-${key}`)
  return { key, attempt, fingerprint: 'f'.repeat(43), scope: 'production', retentionMs: RETENTION_MS }
}

function claimAll(table: ClaimTable, uses: readonly KeyUse[]): void {
  for (const use of uses) {
    const { kind } = table.claim(use, CLAIM_RUN_MS, KEY_TIME)
    if (kind !== 'granted') throw new Error(`claim returned ${kind}, expected granted`)
  }
}

function createFilledTable(count: number, seed: number): ClaimTable {
  const table = new ClaimTable({ startedAt: START, maxBytes: TABLE_BYTES })
  claimAll(table, createKeys(count, seed).map(createKeyUse))
  return table
}

/** Encoded size of all messages of one completed call with a key, without HTTP/2 headers. */
function encodedBytesPerCall(bodyBytes: number): number {
  const use = createKeyUse(createKeys(1, 1)[0] ?? createKey(KEY_TIME, new Uint8Array(10)))
  const body = new Uint8Array(bodyBytes)
  const ending = endingToWire({ kind: 'response', status: 200, contentType: 'application/json', body })
  const claim = toBinary(ClaimRequestSchema, create(ClaimRequestSchema, { use, runMs: CLAIM_RUN_MS }))
  const granted = toBinary(ClaimResponseSchema, claimReplyToWire({ kind: 'granted' }))
  const complete = toBinary(CompleteRequestSchema, create(CompleteRequestSchema, { use, ending }))
  const result = recordReplyToWire({ kind: 'recorded' })
  const recorded = toBinary(RecordResponseSchema, create(RecordResponseSchema, { result }))
  return HOLDERS_PER_KEY * (claim.length + granted.length + complete.length + recorded.length)
}

const cpuMeasurementUses = createKeys(CLAIMS_PER_READING, 2).map(createKeyUse)

export const claimsMeasurements: readonly Measurement[] = [
  {
    name: 'holder memory (heap)',
    per: 'keys held',
    unit: 'bytes',
    sizes: [1_000, 4_000, 16_000, 32_000],
    measure: (size) => retainedBytes(() => createFilledTable(size, 1)),
  },
  {
    name: 'holder memory (as counted against its limit)',
    per: 'keys held',
    unit: 'bytes',
    sizes: [1_000, 4_000, 16_000, 32_000],
    measure: (size) => createFilledTable(size, 1).bytes,
  },
  {
    name: 'CPU of one claim at a holder',
    per: 'keys held',
    unit: 'µs',
    sizes: [1_000, 4_000, 16_000, 32_000],
    measure: (size) => {
      const table = createFilledTable(size, 1)
      const uses = cpuMeasurementUses
      return cpuMicrosecondsPerUnit(() => {
        claimAll(table, uses)
      }, uses.length)
    },
  },
  {
    name: 'claim and complete at five holders, encoded',
    per: 'bytes of kept response body',
    unit: 'bytes',
    sizes: [0, 256, 512, 1024],
    measure: encodedBytesPerCall,
  },
]
