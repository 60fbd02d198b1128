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
import { digestSchema, environmentSchema, evacuatedDomainSchema, revisionSchema, rosterEntrySchema } from './command'
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
const replicaIdSchema = z.custom<ReplicaId>((value) => typeof value === 'string')
const serverIdSchema = z.custom<ServerId>((value) => typeof value === 'string')
const nodeIdSchema = z.custom<NodeId>((value) => typeof value === 'string')
const stepSchema = z.object({
  action: z.enum(['add-learner', 'promote', 'remove']),
  replica: replicaIdSchema,
  reason: z.string(),
})
const headerSchema = z.object({
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
  replicas: z.array(z.object({ replica: replicaIdSchema, node: nodeIdSchema, role: z.enum(['voter', 'learner']) })),
  drains: z.array(z.object({ node: nodeIdSchema, at: z.number(), start: z.number().exactOptional() })),
  replacing: z.array(nodeIdSchema),
  // Absent in snapshots of versions that did not record departures.
  departures: z.array(z.object({ position: z.number(), server: serverIdSchema, start: z.number() })).default([]),
  departurePosition: z.number().default(0),
  // Absent in snapshots of versions without evacuations, and before the first order.
  evacuations: z
    .object({
      position: z.number(),
      domains: z.array(z.object({ domain: evacuatedDomainSchema, at: z.number(), requester: z.string() })),
      orders: z.array(z.string()),
    })
    .exactOptional(),
  audit: z.object({
    root: digestSchema,
    head: digestSchema,
    dropped: z.number(),
    hidden: z.number(),
    blocks: z.array(z.object({ count: z.number().positive(), bytes: z.number().positive() })),
    open: z.array(z.string()),
  }),
})

export function encodeSnapshot(state: ControlState): Uint8Array {
  const { root, head, dropped, lines } = state.audit.packed()
  const { hidden, blocks, open } = lines
  const sizes = blocks.map(({ count, data }) => ({ count, bytes: data.byteLength }))
  const header: z.infer<typeof headerSchema> = {
    format: SNAPSHOT_FORMAT,
    clock: state.clock,
    environments: [...state.environments],
    results: [...state.results] as z.infer<typeof headerSchema>['results'],
    roster: state.roster as z.infer<typeof headerSchema>['roster'],
    nextEpoch: state.nextEpoch,
    rosterVersion: state.rosterVersion,
    replicaSteps: state.replicaSteps,
    ...(state.replicaIntent === undefined ? {} : { replicaIntent: stepSchema.parse(state.replicaIntent) }),
    replicas: [...state.replicas],
    drains: state.drains,
    replacing: state.replacing,
    departures: [...state.departures.values()],
    departurePosition: state.departurePosition,
    ...encodeEvacuations(state),
    audit: { root, head, dropped, hidden, blocks: sizes, open: [...open] },
  }
  return Buffer.concat([Buffer.from(`${JSON.stringify(header)}\n`, 'utf8'), ...blocks.map(({ data }) => data)])
}

function encodeEvacuations(state: ControlState): Pick<z.infer<typeof headerSchema>, 'evacuations'> {
  const { evacuations, evacuationPosition: position, evacuationOrders } = state
  if (evacuationOrders.length === 0) return {}
  return { evacuations: { position, domains: [...evacuations.values()], orders: [...evacuationOrders] } }
}

/** Fails with `format-unknown` for another format version and with `snapshot-damaged` for other unreadable bytes. */
export function decodeSnapshot(bytes: Uint8Array): Result<ControlState, Failure> {
  try {
    const all = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
    const headEnd = all.indexOf(LINE_FEED)
    const raw = JSON.parse(all.toString('utf8', 0, headEnd < 0 ? undefined : headEnd)) as { readonly format?: unknown }
    if (raw.format !== SNAPSHOT_FORMAT) {
      return err(failure('formatUnknown', `snapshot has format ${String(raw.format)}, expected ${SNAPSHOT_FORMAT}`))
    }
    const header = headerSchema.parse(raw)
    const { root, head: auditHead, dropped, hidden, open } = header.audit
    const blocks = splitBlocks(all.subarray(headEnd + 1), header.audit.blocks)
    if (blocks === undefined)
      return err(failure('snapshotDamaged', 'the audit records do not have the total length given in the header'))
    return ok({
      clock: header.clock,
      environments: new Map(header.environments),
      results: new Map(header.results),
      audit: AuditLog.fromPacked({ root, head: auditHead, dropped, lines: { hidden, blocks, open } }),
      roster: header.roster,
      nextEpoch: header.nextEpoch,
      rosterVersion: header.rosterVersion,
      replicaSteps: header.replicaSteps,
      replicaIntent: header.replicaIntent,
      replicas: header.replicas,
      drains: header.drains,
      replacing: header.replacing,
      departures: new Map(header.departures.map((departure) => [departure.server, departure])),
      departurePosition: header.departurePosition,
      evacuations: new Map(header.evacuations?.domains.map((evacuation) => [evacuation.domain, evacuation])),
      evacuationPosition: header.evacuations?.position ?? 0,
      evacuationOrders: header.evacuations?.orders ?? [],
    })
  } catch (cause) {
    return err(failure('snapshotDamaged', `snapshot cannot be read: ${errorMessage(cause)}`))
  }
}

/** Copies the blocks out of the snapshot, so that they do not keep the whole snapshot in memory. */
function splitBlocks(
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
