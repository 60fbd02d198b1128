/**
 * Commands of the control log and their encoding: one version byte followed by JSON. JSON is used because a command is
 * only read through its schema, and 550 changes per day do not need a more compact encoding.
 */
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import {
  RESULT_CODES,
  errorMessage,
  failure,
  type CodeName,
  type Digest,
  type Environment,
  type Failure,
  type FailureDomain,
  type NodeId,
  type ReplicaId,
  type RequestId,
  type Revision,
  type ServerId,
} from '@bilberrystall/base'
import { MAX_DOCUMENT_BYTES } from './state'

const COMMAND_VERSION = 1
/** Maximum number of faults listed in a refusal, so that an invalid document cannot fill the log. */
export const MAX_REPORTED_FAULTS = 50
const MAX_ROSTER_ENTRIES = 1_000
const ENVIRONMENT_PATTERN = /^[a-z][a-z0-9-]{0,39}$/
const REQUEST_ID_PATTERN = /^[A-Za-z0-9_-]{16}$/
/** Narrower than the names that servers may announce, so that a damaged or cut-off name is refused. */
const FAILURE_DOMAIN_PATTERN = /^[\p{L}\p{N}_][\p{L}\p{M}\p{N}._:/-]*$/u
const MAX_FAILURE_DOMAIN_LENGTH = 100
const DIGEST_PATTERN = /^[0-9a-f]{64}$/

const timeSchema = z.number().int().nonnegative()
const identitySchema = z.string().min(1).max(100)
const shortTextSchema = z.string().max(300)
const nameSchema = z.string().min(1).max(100)
export const environmentSchema = z.custom<Environment>(
  (value) => typeof value === 'string' && ENVIRONMENT_PATTERN.test(value),
  'must be 1 to 40 lower-case letters, digits and hyphens, starting with a letter',
)
export const revisionSchema = z.custom<Revision>(
  (value) => Number.isSafeInteger(value) && (value as number) >= 0,
  'must be a revision number',
)
export const digestSchema = z.custom<Digest>(
  (value) => typeof value === 'string' && DIGEST_PATTERN.test(value),
  'must be a SHA-256 in lower-case hexadecimal',
)
export const changeIdSchema = z.string().regex(/^[A-Za-z0-9._:-]{1,100}$/, 'must be 1 to 100 letters, digits or ._:-')
const codeSchema = z.custom<CodeName>((value) => typeof value === 'string' && value in RESULT_CODES)
const serverIdSchema = z.custom<ServerId>((value) => nameSchema.safeParse(value).success)
const nodeIdSchema = z.custom<NodeId>((value) => nameSchema.safeParse(value).success)
export const requestIdSchema = z.custom<RequestId>(
  (value) => typeof value === 'string' && REQUEST_ID_PATTERN.test(value),
  'must be the id of a request: 16 letters, digits, hyphens or underscores',
)
export const evacuatedDomainSchema = z.custom<FailureDomain>(
  (value) =>
    typeof value === 'string' && value.length <= MAX_FAILURE_DOMAIN_LENGTH && FAILURE_DOMAIN_PATTERN.test(value),
  'must be the name of a failure domain: 1 to 100 letters, digits or ._:/-, starting with a letter, digit or underscore',
)
const failureDomainSchema = z.custom<FailureDomain>((value) => nameSchema.safeParse(value).success)
const replicaIdSchema = z.custom<ReplicaId>((value) => nameSchema.safeParse(value).success)
const faultSchema = z.object({ section: shortTextSchema, key: shortTextSchema, reason: shortTextSchema })
export const rosterEntrySchema = z.object({ node: nodeIdSchema, failureDomain: failureDomainSchema })

const originFields = { at: timeSchema, requester: identitySchema, source: identitySchema }
/**
 * Version numbers chosen by the operator: the version of the document, and the version it is based on, which is 0 for
 * the first document. They replace the base revision as the precondition of the change.
 */
const versionNumbersSchema = z.object({ version: z.int().nonnegative(), base: z.int().nonnegative() })
const changeFields = {
  ...originFields,
  changeId: changeIdSchema,
  environment: environmentSchema,
  baseRevision: revisionSchema,
}

/** The proposer validates the document. For an invalid document the command contains only its digest and faults. */
const contentSchema = z.discriminatedUnion('validity', [
  z.object({ validity: z.literal('valid'), text: z.string().max(MAX_DOCUMENT_BYTES) }),
  z.object({
    validity: z.literal('invalid'),
    digest: digestSchema,
    faults: z.array(faultSchema).max(MAX_REPORTED_FAULTS),
  }),
])

const commandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('submit'),
    ...changeFields,
    numbering: versionNumbersSchema.exactOptional(),
    content: contentSchema,
  }),
  z.object({
    kind: z.literal('amend'),
    ...changeFields,
    numbering: versionNumbersSchema,
    changed: z.string().max(MAX_DOCUMENT_BYTES),
    removed: z.object({
      service: z.array(z.string()),
      route: z.array(z.string()),
      // Absent if none is removed, so that such a change has the same digest as in builds without organisations.
      organisation: z.array(z.string()).exactOptional(),
    }),
  }),
  z.object({ kind: z.literal('depart'), ...originFields, server: serverIdSchema, start: timeSchema }),
  z.object({ kind: z.literal('promote'), ...changeFields, sourceRevision: revisionSchema, digest: digestSchema }),
  z.object({
    kind: z.literal('refuse'),
    ...originFields,
    code: codeSchema,
    changeId: changeIdSchema.optional(),
    environment: environmentSchema.optional(),
    digest: digestSchema.optional(),
  }),
  z.object({
    kind: z.literal('node'),
    ...originFields,
    action: z.enum(['drain', 'replace']),
    node: nodeIdSchema,
    /** Start of the process that ran when the order was given, in Unix ms on the clock of the node. */
    start: timeSchema.exactOptional(),
  }),
  z.object({
    kind: z.literal('evacuate'),
    ...originFields,
    action: z.enum(['start', 'end']),
    domain: evacuatedDomainSchema,
    /** Identifies the order among the attempts to submit it, which take effect once. */
    order: changeIdSchema,
  }),
  z.object({
    kind: z.literal('release'),
    ...originFields,
    request: requestIdSchema,
    /** Time of the newest crash report that is released, on the clock of its reporter, which may be ahead. */
    newestReportAt: timeSchema.exactOptional(),
  }),
  z.object({
    kind: z.literal('roster-propose'),
    at: timeSchema,
    entries: z.array(rosterEntrySchema).max(MAX_ROSTER_ENTRIES),
  }),
  z.object({ kind: z.literal('roster-seal'), at: timeSchema, epoch: z.number().int().positive() }),
  z.object({ kind: z.literal('roster-void'), at: timeSchema, epoch: z.number().int().positive() }),
  z.object({
    kind: z.literal('replica-step'),
    at: timeSchema,
    action: z.enum(['add-learner', 'promote', 'remove']),
    replica: replicaIdSchema,
    reason: shortTextSchema,
  }),
])

export type Command = z.infer<typeof commandSchema>
export type SubmitCommand = Extract<Command, { kind: 'submit' }>
export type AmendCommand = Extract<Command, { kind: 'amend' }>
export type DepartCommand = Extract<Command, { kind: 'depart' }>
export type EvacuateCommand = Extract<Command, { kind: 'evacuate' }>
export type PromoteCommand = Extract<Command, { kind: 'promote' }>

export function encodeCommand(command: Command): Uint8Array {
  return Buffer.concat([Buffer.of(COMMAND_VERSION), Buffer.from(JSON.stringify(command), 'utf8')])
}

/** Fails with `format-unknown` for another format version or a command that this version does not support. */
export function decodeCommand(bytes: Uint8Array): Result<Command, Failure> {
  if (bytes[0] !== COMMAND_VERSION) {
    return err(failure('formatUnknown', `command has version ${bytes[0] ?? 'none'}, expected ${COMMAND_VERSION}`))
  }
  try {
    const text = Buffer.from(bytes.buffer, bytes.byteOffset + 1, bytes.byteLength - 1).toString('utf8')
    return ok(commandSchema.parse(JSON.parse(text)))
  } catch (cause) {
    return err(failure('formatUnknown', `command cannot be read: ${errorMessage(cause)}`))
  }
}
