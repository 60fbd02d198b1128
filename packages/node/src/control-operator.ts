/**
 * Operator API: JSON over HTTP with RFC 9457 problem responses. Reads are linearizable. Rejected and
 * malformed requests of authenticated operators are written to the audit log; requests without a valid key are only
 * counted, because otherwise anyone could fill the log.
 */
import { isUtf8 } from 'node:buffer'
import { createHash, randomUUID } from 'node:crypto'
import { setImmediate as yieldToLoop } from 'node:timers/promises'
import { getConnInfo } from '@hono/node-server/conninfo'
import { Hono, type Context } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import { z } from 'zod'
import {
  failure,
  formatFault,
  nodeId,
  toProblem,
  resultCode,
  type CodeName,
  type Environment,
  type Failure,
} from '@bilberrystall/base'
import {
  MAX_DOCUMENT_BYTES,
  changeIdSchema,
  digestSchema,
  environmentSchema,
  evacuatedDomainSchema,
  requestIdSchema,
  revisionSchema,
  sha256,
  type AcceptedDocument,
  type AuditFilter,
  type AuditRecord,
  type ChangeResult,
  type Command,
} from '@bilberrystall/control'
import { secretsEqual } from '@bilberrystall/rpc'
import type { SubmitOutcome } from './change-outcome'
import type { ChangeSubmitter } from './change-submitter'
import type { ReplicaHost } from './control-replica'
import { environmentView, nodeViews, quarantineViews, serverViews, statusView, type ClusterView } from './control-views'
import type { QuarantineExchange } from './quarantine-exchange'
import { problemResponse } from './status-listener'

/** JSON escapes can double the length of a document or more; a longer body certainly exceeds the document limit. */
const BODY_LIMIT_BYTES = 6 * MAX_DOCUMENT_BYTES + 4_096
const DISCARD_LIMIT_BYTES = 16 * 1024 * 1024
const AUDIT_PAGE_DEFAULT = 100
const AUDIT_PAGE_LIMIT = 2_000

export interface OperatorOptions {
  readonly host: Pick<ReplicaHost, 'read' | 'state' | 'status'>
  readonly changes: Pick<ChangeSubmitter, 'submit'>
  readonly cluster: ClusterView
  readonly quarantine: Pick<QuarantineExchange, 'quarantined' | 'release'>
  /** SHA-256 digest of each operator's key, by operator name. */
  readonly operatorKeys: ReadonlyMap<string, string>
  /** Counts each request by its result. */
  readonly onRequest: (code: CodeName) => void
}

interface OperatorEnv {
  Variables: { requester: string; source: string }
}

const changeSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('submit'),
    changeId: changeIdSchema,
    environment: environmentSchema,
    baseRevision: revisionSchema,
    document: z.string(),
  }),
  z.strictObject({
    kind: z.literal('promote'),
    changeId: changeIdSchema,
    environment: environmentSchema,
    baseRevision: revisionSchema,
    sourceRevision: revisionSchema,
    digest: digestSchema,
  }),
])

const timeSchema = z.coerce.number().int().nonnegative()
const auditQuerySchema = z.object({
  limit: z.coerce.number().int().min(1).max(AUDIT_PAGE_LIMIT).default(AUDIT_PAGE_DEFAULT),
  before: z.coerce.number().int().positive().optional(),
  from: timeSchema.optional(),
  until: timeSchema.optional(),
  requester: z.string().optional(),
  environment: z.string().optional(),
  result: z.string().optional(),
})

export function operatorApp(options: OperatorOptions): Hono<OperatorEnv> {
  const { host, cluster } = options
  const app = new Hono<OperatorEnv>()
  app.use('/v1/*', async (context, next) => {
    const requester = authenticateOperator(options.operatorKeys, context.req.header('authorization') ?? '')
    if (requester === undefined) {
      options.onRequest('operatorUnauthorized')
      return problemResponse(failure('operatorUnauthorized'))
    }
    context.set('requester', requester)
    context.set('source', getConnInfo(context as unknown as Context).remote.address ?? 'unknown')
    return next()
  })
  const limit = bodyLimit({
    maxSize: BODY_LIMIT_BYTES,
    onError: async (context) => {
      await discardBody(context.req.raw)
      const origin = { at: 0, requester: String(context.get('requester')), source: String(context.get('source')) }
      return rejectAndRecord(options, origin, 'changeTooLarge')
    },
  })
  app.post('/v1/changes', limit, (context) => handleChange(options, context))
  app.post('/v1/nodes/:node/drain', (context) => handleNodeRequest(options, context, 'drain'))
  app.post('/v1/nodes/:node/replace', (context) => handleNodeRequest(options, context, 'replace'))
  app.get('/v1/environments/:environment', (context) =>
    withLinearizableRead(options, () => {
      const environment = context.req.param('environment') as Environment
      const view = environmentView(host.state, cluster, environment)
      return view === undefined ? problemResponse(failure('documentMissing')) : context.json(view)
    }),
  )
  app.get('/v1/environments/:environment/history', (context) =>
    withLinearizableRead(options, () => {
      const documents = host.state.environments.get(context.req.param('environment') as Environment)
      if (documents === undefined) return problemResponse(failure('documentMissing'))
      return context.json({ documents: documents.map(withoutText) })
    }),
  )
  app.get('/v1/audit', (context) => withLinearizableRead(options, () => handleAudit(options, context)))
  app.get('/v1/status', (context) => context.json(statusView(host, cluster)))
  app.get('/v1/nodes', (context) => context.json({ nodes: nodeViews(host, cluster) }))
  app.get('/v1/quarantine', (context) => context.json({ requests: quarantineViews(options.quarantine.quarantined) }))
  app.post('/v1/quarantine/:request/release', (context) => handleRelease(options, context))
  app.get('/v1/evacuations', (context) =>
    withLinearizableRead(options, () => context.json({ domains: [...host.state.evacuations.values()] })),
  )
  app.post('/v1/evacuations/:domain/start', (context) => handleEvacuation(options, context, 'start'))
  app.post('/v1/evacuations/:domain/end', (context) => handleEvacuation(options, context, 'end'))
  app.get('/v1/servers', (context) => context.json({ servers: serverViews(cluster) }))
  app.notFound(() => problemResponse(failure('notFound')))
  app.onError((cause) => problemResponse(failure('internal', cause.message)))
  return app
}

/** Omits the text from history: up to 20 documents have up to 5 MiB of text in total. */
function withoutText({ revision, digest, at, requester, changeId }: AcceptedDocument): Omit<AcceptedDocument, 'text'> {
  return { revision, digest, at, requester, changeId }
}

/** Reads the rest of an oversized body, because closing the connection while the sender writes loses the response. */
async function discardBody(request: Request): Promise<void> {
  if (request.body === null || request.bodyUsed) return
  let bytes = 0
  for await (const chunk of request.body as unknown as AsyncIterable<Uint8Array>) {
    bytes += chunk.byteLength
    if (bytes > DISCARD_LIMIT_BYTES) return
  }
}

/** Compares with every key in constant time, so that timing reveals nothing about the keys. */
function authenticateOperator(keys: ReadonlyMap<string, string>, authorization: string): string | undefined {
  const secret = authorization.startsWith('Bearer ') ? authorization.slice('Bearer '.length) : ''
  const digest = createHash('sha256').update(secret).digest('hex')
  let operator: string | undefined
  for (const [name, expected] of keys) {
    if (secretsEqual(digest, expected)) operator = name
  }
  return secret === '' ? undefined : operator
}

async function withLinearizableRead(
  options: OperatorOptions,
  createResponse: () => Response | Promise<Response>,
): Promise<Response> {
  const read = await options.host.read()
  return read.isOk() ? createResponse() : problemResponse(failure('noQuorum', read.error.message))
}

/** Origin of a request for the audit log; the leader sets `at`. */
type Origin = Pick<Command & { kind: 'refuse' }, 'at' | 'requester' | 'source'>

function requestOrigin(context: Context<OperatorEnv>): Origin {
  return { at: 0, requester: context.get('requester'), source: context.get('source') }
}

async function handleChange(options: OperatorOptions, context: Context<OperatorEnv>): Promise<Response> {
  // Decoding would replace other bytes without a word, so the document would not be the one that was sent.
  if (!isUtf8(await context.req.arrayBuffer())) {
    return rejectAndRecord(options, requestOrigin(context), 'requestInvalid', 'the body is not valid UTF-8')
  }
  const body: unknown = await context.req.json().catch(() => undefined)
  const parsed = changeSchema.safeParse(body)
  if (!parsed.success) {
    const message = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`).join('; ')
    return rejectAndRecord(options, requestOrigin(context), 'requestInvalid', message)
  }
  const request = parsed.data
  const origin = requestOrigin(context)
  if (request.kind === 'promote')
    return outcomeResponse(options, await options.changes.submit({ ...request, ...origin }))
  const { document, ...rest } = request
  const content = { validity: 'valid' as const, text: document }
  if (Buffer.byteLength(document) > MAX_DOCUMENT_BYTES) {
    const { changeId, environment } = rest
    return rejectAndRecord(options, requestOrigin(context), 'changeTooLarge', undefined, {
      changeId,
      environment,
      digest: sha256(document),
    })
  }
  return outcomeResponse(options, await options.changes.submit({ ...rest, ...origin, content }))
}

/**
 * Rejects a request without submitting it as a change, and records the rejection in the audit log. The rejection is
 * reported only once it is committed there; until then the request took no effect and can be sent again.
 */
async function rejectAndRecord(
  options: OperatorOptions,
  origin: Origin,
  code: CodeName,
  message?: string,
  rest: Pick<Extract<Command, { kind: 'refuse' }>, 'changeId' | 'environment' | 'digest'> = {},
): Promise<Response> {
  const outcome = await options.changes.submit({ kind: 'refuse', ...origin, code, ...rest })
  if (outcome.kind !== 'recorded') return outcomeResponse(options, outcome)
  options.onRequest(code)
  return problemResponse(failure(code, message))
}

async function handleNodeRequest(
  options: OperatorOptions,
  context: Context<OperatorEnv, '/v1/nodes/:node/drain'>,
  action: 'drain' | 'replace',
): Promise<Response> {
  const node = nodeId(context.req.param('node'))
  if (!options.cluster.nodes.has(node) && !options.host.state.replicas.some((replica) => replica.node === node)) {
    return rejectAndRecord(options, requestOrigin(context), 'notFound', `node ${node} does not exist`)
  }
  const origin = requestOrigin(context)
  const start = options.cluster.startOf?.(node)
  const order = { kind: 'node' as const, ...origin, action, node, ...(start === undefined ? {} : { start }) }
  const outcome = await options.changes.submit(order)
  if (outcome.kind !== 'recorded') return outcomeResponse(options, outcome)
  options.onRequest('ok')
  return context.json({ node, action })
}

async function handleEvacuation(
  options: OperatorOptions,
  context: Context<OperatorEnv, '/v1/evacuations/:domain/start'>,
  action: 'start' | 'end',
): Promise<Response> {
  const origin = requestOrigin(context)
  const parsed = evacuatedDomainSchema.safeParse(context.req.param('domain'))
  if (!parsed.success) return rejectAndRecord(options, origin, 'requestInvalid', z.prettifyError(parsed.error))
  const domain = parsed.data
  const order = { kind: 'evacuate' as const, ...origin, action, domain, order: randomUUID() }
  const outcome = await options.changes.submit(order)
  if (outcome.kind !== 'recorded') return outcomeResponse(options, outcome)
  options.onRequest('ok')
  return context.json({ domain, action })
}

async function handleRelease(
  options: OperatorOptions,
  context: Context<OperatorEnv, '/v1/quarantine/:request/release'>,
): Promise<Response> {
  const parsed = requestIdSchema.safeParse(context.req.param('request'))
  if (!parsed.success) return rejectAndRecord(options, requestOrigin(context), 'requestInvalid')
  const request = parsed.data
  const quarantined = options.quarantine.quarantined.find((entry) => entry.request === request)
  if (quarantined === undefined) {
    return rejectAndRecord(options, requestOrigin(context), 'notFound', `request ${request} is not quarantined`)
  }
  const newestReportAt = Math.max(...quarantined.crashes.map(({ at }) => at))
  const outcome = await options.changes.submit({
    kind: 'release',
    ...requestOrigin(context),
    request,
    newestReportAt,
  })
  if (outcome.kind !== 'recorded') return outcomeResponse(options, outcome)
  options.quarantine.release(request)
  options.onRequest('ok')
  return context.json({ request })
}

async function handleAudit(options: OperatorOptions, context: Context<OperatorEnv>): Promise<Response> {
  const parsed = auditQuerySchema.safeParse(context.req.query())
  if (!parsed.success) return problemResponse(failure('requestInvalid', z.prettifyError(parsed.error)))
  const { limit, before, ...filter } = parsed.data
  const { records, next } = await collectAuditRecords(options, filter, limit, before)
  return context.json(next === undefined ? { records } : { records, next })
}

/** Reads page by page and yields to the event loop, because a filter may match only a few of 50,000 records. */
async function collectAuditRecords(
  options: OperatorOptions,
  filter: AuditFilter,
  limit: number,
  before: number | undefined,
) {
  const records: AuditRecord[] = []
  let next = before
  do {
    const page = options.host.state.audit.query(filter, limit - records.length, next)
    records.push(...page.records)
    next = page.next
    await yieldToLoop()
  } while (next !== undefined && records.length < limit)
  return { records, next }
}

function outcomeResponse(options: OperatorOptions, outcome: SubmitOutcome): Response {
  options.onRequest(outcomeCode(outcome))
  switch (outcome.kind) {
    case 'change':
      return changeResponse(outcome.result, outcome.repeated)
    case 'recorded':
      return Response.json({})
    case 'unknown':
      return problemResponse(failure('changeUnknown'))
    case 'failed':
      return problemResponse(outcome.failure)
  }
}

function outcomeCode(outcome: SubmitOutcome): CodeName {
  switch (outcome.kind) {
    case 'change':
      return outcome.result.kind === 'accepted' ? 'ok' : outcome.result.code
    case 'recorded':
      return 'ok'
    case 'unknown':
      return 'changeUnknown'
    case 'failed':
      return outcome.failure.code
  }
}

function changeResponse(result: ChangeResult, repeated: boolean): Response {
  if (result.kind === 'accepted') return Response.json({ revision: result.revision, digest: result.digest, repeated })
  const { currentRevision, faults } = result
  const cause: Failure = { code: result.code, message: describeRejection(result.message, faults) }
  const body = { ...toProblem(cause), currentRevision, repeated, ...(faults === undefined ? {} : { faults }) }
  const { status } = resultCode(result.code)
  return new Response(JSON.stringify(body), { status, headers: { 'content-type': 'application/problem+json' } })
}

function describeRejection(message: string, faults: Extract<ChangeResult, { kind: 'refused' }>['faults']): string {
  const [first] = faults ?? []
  return first === undefined ? message : `${message} First fault: ${formatFault(first)}`
}
