/** Commands for nodes, servers and audit records. */
import { createHash } from 'node:crypto'
import { failure } from '@bilberrystall/base'
import { Command, Option } from 'clipanion'
import { err, ok, type Result } from 'neverthrow'
import { NodeCommand } from './command-base'
import { auditSchema, nodesSchema, objectSchema, serversSchema, type AuditRecord } from './operator-api'
import type { OperatorClient, OperatorFailure } from './operator-client'
import { formatTable, formatTime, shortDigest } from './output'

const SYSTEM = 'System'
const VERIFY_PAGE_SIZE = 1000

const NODE_COLUMNS = {
  NODE: 'node',
  ROLES: 'roles',
  STATE: 'state',
  REPLICA: 'replica',
  ENVIRONMENT: 'environment',
  'FAILURE DOMAIN': 'failureDomain',
  ADDRESS: 'address',
  DOCUMENTS: 'documents',
}

const SERVER_COLUMNS = {
  SERVER: 'server',
  SERVICE: 'service',
  ENVIRONMENT: 'environment',
  STATE: 'state',
  'FAILURE DOMAIN': 'failureDomain',
  ADDRESS: 'address',
  SLOTS: 'slots',
  'EJECTED BY': 'ejectedBy',
}

type JsonObject = Readonly<Record<string, unknown>>

export class Status extends NodeCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({
    category: SYSTEM,
    description: 'print the state of a node and of the control plane',
  })

  override execute(): Promise<number> {
    return this.request(
      (client) => client.get('/v1/status', objectSchema),
      (value) => formatMembers(value),
    )
  }
}

export class Nodes extends NodeCommand {
  static override paths = [['nodes']]
  static override usage = Command.Usage({ category: SYSTEM, description: 'list the live nodes' })

  override execute(): Promise<number> {
    return this.request(
      (client) => client.get('/v1/nodes', nodesSchema),
      ({ nodes }) => formatListing(NODE_COLUMNS, nodes),
    )
  }
}

export class Servers extends NodeCommand {
  static override paths = [['servers']]
  static override usage = Command.Usage({ category: SYSTEM, description: 'list the announced servers' })

  override execute(): Promise<number> {
    return this.request(
      (client) => client.get('/v1/servers', serversSchema),
      ({ servers }) => formatListing(SERVER_COLUMNS, servers),
    )
  }
}

abstract class NodeAction extends NodeCommand {
  name = Option.String({ name: 'node' })

  protected postAction(action: 'drain' | 'replace', outcome: string): Promise<number> {
    const path = `/v1/nodes/${encodeURIComponent(this.name)}/${action}`
    return this.request(
      (client) => client.post(path, objectSchema),
      () => `node ${this.name} ${outcome}\n`,
    )
  }
}

export class NodeDrain extends NodeAction {
  static override paths = [['node', 'drain']]
  static override usage = Command.Usage({
    category: SYSTEM,
    description: 'shut a node down without interrupting calls in flight',
    examples: [['Drain before maintenance', '$0 node drain entry-2']],
  })

  override execute(): Promise<number> {
    return this.postAction('drain', 'is draining')
  }
}

export class NodeReplace extends NodeAction {
  static override paths = [['node', 'replace']]
  static override usage = Command.Usage({
    category: SYSTEM,
    description: 'replace the control replica of a node that is permanently lost',
    examples: [['Replace a lost VM', '$0 node replace control-1']],
  })

  override execute(): Promise<number> {
    return this.postAction('replace', 'is being replaced')
  }
}

export class Audit extends NodeCommand {
  static override paths = [['audit']]
  static override usage = Command.Usage({
    category: SYSTEM,
    description: 'list audit records, newest first',
    details: `
      Every request is recorded, accepted or rejected. --verify reads all stored records and recomputes the chain of
      digests locally. The exit status is 90 if a record was changed or removed.
    `,
    examples: [
      ['Rejected changes of one person', '$0 audit --requester asha --result revision-conflict'],
      ['Check that no record was changed', '$0 audit --verify'],
    ],
  })

  from = Option.String('--from', { description: 'list records from this time on, for example 2026-05-01T00:00:00Z' })
  until = Option.String('--until', { description: 'list records before this time' })
  requester = Option.String('--requester')
  environment = Option.String('--environment')
  result = Option.String('--result', { description: 'name of a result code, for example revision-conflict' })
  limit = Option.String('--limit', '50', { description: 'maximum number of records' })
  verify = Option.Boolean('--verify', false, { description: 'verify the chain of digests' })

  override execute(): Promise<number> {
    if (this.verify)
      return this.request(verifyChain, ({ records, head }) => `${records} records, chain intact, head ${head}\n`)
    return this.request(
      (client) => client.get(`/v1/audit?${this.#query()}`, auditSchema),
      ({ records }) => formatAuditRecords(records),
    )
  }

  #query(): string {
    const query = new URLSearchParams({ limit: this.limit })
    const times = { from: this.from, until: this.until }
    for (const [name, value] of Object.entries(times))
      if (value !== undefined) query.set(name, String(Date.parse(value)))
    const filters = { requester: this.requester, environment: this.environment, result: this.result }
    for (const [name, value] of Object.entries(filters)) if (value !== undefined) query.set(name, value)
    return query.toString()
  }
}

interface VerifiedChain {
  readonly records: number
  readonly head: string
}

/** Verifies that each record contains the SHA-256 of the previous one. Records are fetched newest first. */
async function verifyChain(client: OperatorClient): Promise<Result<VerifiedChain, OperatorFailure>> {
  let newerRecord: AuditRecord | undefined
  let records = 0
  let head = ''
  let before: number | undefined
  do {
    const position = before === undefined ? '' : `&before=${before}`
    const page = await client.get(`/v1/audit?limit=${VERIFY_PAGE_SIZE}${position}`, auditSchema)
    if (page.isErr()) return err(page.error)
    for (const record of page.value.records) {
      const digest = createHash('sha256').update(JSON.stringify(record)).digest('hex')
      if (newerRecord === undefined) head = digest
      else if (newerRecord.previous !== digest || newerRecord.sequence !== record.sequence + 1)
        return err(brokenChainFailure(newerRecord.sequence))
      newerRecord = record
      records += 1
    }
    before = page.value.next
  } while (before !== undefined)
  return ok({ records, head })
}

function brokenChainFailure(sequence: number): OperatorFailure {
  return failure('logDamaged', `the audit chain is broken before record ${sequence}`)
}

function formatAuditRecords(records: readonly AuditRecord[]): string {
  return formatTable(
    [
      { title: 'RECORD', value: (entry) => entry.sequence },
      { title: 'TIME', value: (entry) => formatTime(entry.at) },
      { title: 'OPERATION', value: (entry) => entry.operation },
      { title: 'ENVIRONMENT', value: (entry) => entry.environment ?? entry.target },
      { title: 'REQUESTER', value: (entry) => entry.requester },
      { title: 'SOURCE', value: (entry) => entry.source },
      { title: 'RESULT', value: (entry) => (entry.repeated === true ? `${entry.result} (repeated)` : entry.result) },
      { title: 'REVISION', value: (entry) => entry.revision },
      { title: 'DIGEST', value: (entry) => (entry.digest === undefined ? undefined : shortDigest(entry.digest)) },
      { title: 'CHANGE', value: (entry) => entry.changeId },
    ],
    records,
  )
}

/** Formats a table with the given members of the rows. `--json` prints all members. */
function formatListing(columns: Readonly<Record<string, string>>, rows: readonly JsonObject[]): string {
  const namedColumns = Object.entries(columns)
  return formatTable(
    namedColumns.map(([title, member]) => ({ title, value: (row: JsonObject) => formatCell(row[member]) })),
    rows,
  )
}

function formatMembers(value: JsonObject): string {
  return Object.entries(value)
    .map(([name, member]) => `${name}: ${formatCell(member) ?? '-'}\n`)
    .join('')
}

function formatCell(value: unknown): string | undefined {
  if (value === undefined || value === null) return undefined
  if (typeof value === 'string') return value
  if (Array.isArray(value)) return value.length === 0 ? undefined : value.map(String).join(', ')
  return JSON.stringify(value)
}
