/**
 * Snapshot of the state as bytes: one line of JSON with the format version and everything but the audit records,
 * followed by the audit records, one line each. The same state always gives the same bytes.
 */
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { errorMessage, failure, type CodeName, type Failure, type NodeId, type ReplicaId } from '@bilberrystall/base'
import { AuditLog } from './audit'
import { digestSchema, environmentSchema, revisionSchema, rosterEntrySchema } from './command'
import type { ControlState } from './state'

export const SNAPSHOT_FORMAT = 1

const documentSchema = z.object({
  revision: revisionSchema,
  digest: digestSchema,
  text: z.string(),
  at: z.number(),
  requester: z.string(),
  changeId: z.string(),
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
  audit: z.object({ root: digestSchema, head: digestSchema, dropped: z.number(), count: z.number() }),
})

export function snapshot(state: ControlState): Uint8Array {
  const { root, head, dropped, lines } = state.audit.content()
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
    audit: { root, head, dropped, count: lines.length },
  }
  return Buffer.from([JSON.stringify(first), ...lines].join('\n'), 'utf8')
}

/** Errors: `format-unknown` for another format version, `snapshot-damaged` for anything else that cannot be read. */
export function restore(bytes: Uint8Array): Result<ControlState, Failure> {
  try {
    const text = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('utf8')
    const [first = '', ...lines] = text.split('\n')
    const raw = JSON.parse(first) as { readonly format?: unknown }
    if (raw.format !== SNAPSHOT_FORMAT) {
      return err(failure('formatUnknown', `snapshot has format ${String(raw.format)}, expected ${SNAPSHOT_FORMAT}`))
    }
    const head = headSchema.parse(raw)
    if (head.audit.count !== lines.length) return err(failure('snapshotDamaged', 'audit records are missing'))
    return ok({
      clock: head.clock,
      environments: new Map(head.environments),
      results: new Map(head.results),
      audit: AuditLog.restore({ ...head.audit, lines }),
      roster: head.roster,
      nextEpoch: head.nextEpoch,
      rosterVersion: head.rosterVersion,
      replicaSteps: head.replicaSteps,
      replicaIntent: head.replicaIntent,
      replicas: head.replicas,
      drains: head.drains,
      replacing: head.replacing,
    })
  } catch (cause) {
    return err(failure('snapshotDamaged', `snapshot cannot be read: ${errorMessage(cause)}`))
  }
}
