/**
 * Encoding of the state as a snapshot: one line of JSON with the format version and all of the state except the
 * compressed blocks of audit records, followed by these blocks. Equal states are encoded to equal bytes.
 */
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import {
  errorMessage,
  failure,
  type CodeName,
  type Failure,
  type NodeId,
  type ReplicaId,
  type ServerId,
} from '@bilberrystall/base'
import { AuditLog } from './audit'
import { digestSchema, environmentSchema, revisionSchema, rosterEntrySchema } from './command'
import type { ControlState } from './state'

export const SNAPSHOT_FORMAT = 1
const LINE_FEED = 0x0a

const documentSchema = z.object({
  revision: revisionSchema,
  digest: digestSchema,
  text: z.string(),
  at: z.number(),
  requester: z.string(),
  changeId: z.string(),
  version: z.number().exactOptional(),
})
const faultSchema = z.object({ section: z.string(), key: z.string(), reason: z.string() })
const resultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted'), revision: revisionSchema, digest: digestSchema }),
  z.object({
    kind: z.literal('refused'),
    code: z.custom<CodeName>((value) => typeof value === 'string'),
    message: z.string(),
    currentRevision: revisionSchema,
    faults: z.array(faultSchema).exactOptional(),
  }),
])
const replicaName = z.custom<ReplicaId>((value) => typeof value === 'string')
const serverName = z.custom<ServerId>((value) => typeof value === 'string')
const nodeName = z.custom<NodeId>((value) => typeof value === 'string')
const stepSchema = z.object({
  action: z.enum(['add-learner', 'promote', 'remove']),
  replica: replicaName,
  reason: z.string(),
})
const headSchema = z.object({
  format: z.literal(SNAPSHOT_FORMAT),
  clock: z.number(),
  environments: z.array(z.tuple([environmentSchema, z.array(documentSchema)])),
  results: z.array(z.tuple([z.string(), z.object({ fingerprint: z.string(), result: resultSchema })])),
  roster: z.array(
    z.object({
      epoch: z.number(),
      effectiveFrom: z.number(),
      entries: z.array(rosterEntrySchema),
      standing: z.enum(['pending', 'sealed', 'void']),
    }),
  ),
  nextEpoch: z.number(),
  rosterVersion: z.number(),
  replicaSteps: z.array(stepSchema.extend({ at: z.number() })),
  replicaIntent: stepSchema.exactOptional(),
  replicas: z.array(z.object({ replica: replicaName, node: nodeName, role: z.enum(['voter', 'learner']) })),
  drains: z.array(z.object({ node: nodeName, at: z.number() })),
  replacing: z.array(nodeName),
  // Absent in snapshots of versions that did not record departures.
  departures: z.array(z.object({ position: z.number(), server: serverName, start: z.number() })).default([]),
  departurePosition: z.number().default(0),
  audit: z.object({
    root: digestSchema,
    head: digestSchema,
    dropped: z.number(),
    hidden: z.number(),
    blocks: z.array(z.object({ count: z.number().positive(), bytes: z.number().positive() })),
    open: z.array(z.string()),
  }),
})

export function snapshot(state: ControlState): Uint8Array {
  const { root, head, dropped, lines } = state.audit.packed()
  const { hidden, blocks, open } = lines
  const sizes = blocks.map(({ count, data }) => ({ count, bytes: data.byteLength }))
  const first: z.infer<typeof headSchema> = {
    format: SNAPSHOT_FORMAT,
    clock: state.clock,
    environments: [...state.environments],
    results: [...state.results] as z.infer<typeof headSchema>['results'],
    roster: state.roster as z.infer<typeof headSchema>['roster'],
    nextEpoch: state.nextEpoch,
    rosterVersion: state.rosterVersion,
    replicaSteps: state.replicaSteps,
    ...(state.replicaIntent === undefined ? {} : { replicaIntent: stepSchema.parse(state.replicaIntent) }),
    replicas: [...state.replicas],
    drains: state.drains,
    replacing: state.replacing,
    departures: [...state.departures.values()],
    departurePosition: state.departurePosition,
    audit: { root, head, dropped, hidden, blocks: sizes, open: [...open] },
  }
  return Buffer.concat([Buffer.from(`${JSON.stringify(first)}\n`, 'utf8'), ...blocks.map(({ data }) => data)])
}

/** Fails with `format-unknown` for another format version and with `snapshot-damaged` for other unreadable bytes. */
export function restore(bytes: Uint8Array): Result<ControlState, Failure> {
  try {
    const all = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
    const headEnd = all.indexOf(LINE_FEED)
    const raw = JSON.parse(all.toString('utf8', 0, headEnd < 0 ? undefined : headEnd)) as { readonly format?: unknown }
    if (raw.format !== SNAPSHOT_FORMAT) {
      return err(failure('formatUnknown', `snapshot has format ${String(raw.format)}, expected ${SNAPSHOT_FORMAT}`))
    }
    const head = headSchema.parse(raw)
    const { root, head: last, dropped, hidden, open } = head.audit
    const blocks = cutBlocks(all.subarray(headEnd + 1), head.audit.blocks)
    if (blocks === undefined) return err(failure('snapshotDamaged', 'audit records are missing'))
    return ok({
      clock: head.clock,
      environments: new Map(head.environments),
      results: new Map(head.results),
      audit: AuditLog.restore({ root, head: last, dropped, lines: { hidden, blocks, open } }),
      roster: head.roster,
      nextEpoch: head.nextEpoch,
      rosterVersion: head.rosterVersion,
      replicaSteps: head.replicaSteps,
      replicaIntent: head.replicaIntent,
      replicas: head.replicas,
      drains: head.drains,
      replacing: head.replacing,
      departures: new Map(head.departures.map((departure) => [departure.server, departure])),
      departurePosition: head.departurePosition,
    })
  } catch (cause) {
    return err(failure('snapshotDamaged', `snapshot cannot be read: ${errorMessage(cause)}`))
  }
}

/** Copies the blocks out of the snapshot, so that they do not keep the whole snapshot in memory. */
function cutBlocks(
  body: Buffer,
  sizes: readonly { readonly count: number; readonly bytes: number }[],
): { readonly count: number; readonly data: Uint8Array }[] | undefined {
  let start = 0
  const blocks = sizes.map(({ count, bytes }) => {
    const data = Uint8Array.from(body.subarray(start, start + bytes))
    start += bytes
    return { count, data }
  })
  return start === body.length ? blocks : undefined
}
