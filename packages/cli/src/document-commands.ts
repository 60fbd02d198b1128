/** The `document` commands: check, submit, promote, show, status and history. */
import { isUtf8 } from 'node:buffer'
import { randomUUID } from 'node:crypto'
import { failure, type Failure, type Fault } from '@bilberrystall/base'
import { documentDigest, checkDocument } from '@bilberrystall/document'
import { Command, Option } from 'clipanion'
import { err, ok, type Result } from 'neverthrow'
import { NodeCommand, OutputCommand, parseDurationOption, readFileBytes } from './command-base'
import {
  environmentSchema,
  historySchema,
  type AcceptedChange,
  type Change,
  type EnvironmentView,
} from './operator-api'
import type { OperatorClient, OperatorFailure } from './operator-client'
import { formatTable, formatTime, shortDigest } from './output'

const DOCUMENTS = 'Documents'
const STATUS_POLL_INTERVAL_MS = 100
const LINE_FEED = 0x0a

export class DocumentCheck extends OutputCommand {
  static override paths = [['document', 'check']]
  static override usage = Command.Usage({
    category: DOCUMENTS,
    description: 'check a document without connecting to a node',
    details: 'Lists every fault with section, key and reason. The exit status is 50 if there is one.',
    examples: [['Check the example document', '$0 document check document.ini']],
  })

  file = Option.String({ name: 'document.ini' })

  override async execute(): Promise<number> {
    const text = await readDocumentFile(this.file)
    if (text.isErr()) return this.fail(text.error)
    const parsed = checkDocument(text.value)
    if (parsed.isErr()) return this.fail(invalidDocumentFailure(this.file, parsed.error))
    const { services, routes, title } = parsed.value
    const digest = documentDigest(text.value)
    const value = { title, digest, services: services.size, routes: routes.length }
    this.print(
      value,
      `${this.file} is valid: ${services.size} services, ${routes.length} routes, digest ${shortDigest(digest)}\n`,
    )
    return 0
  }
}

abstract class ChangeCommand extends NodeCommand {
  changeId = Option.String('--change-id', randomUUID(), {
    description: 'id of an earlier attempt whose result is unknown; the change is then applied at most once',
  })
  base = Option.String('--base', { description: 'revision that the change is based on; default is the one in force' })
  limit = Option.String('--limit', '15s', { description: 'how long a change is retried while its result is unknown' })

  protected async submitChange(
    environment: string,
    buildChange: (client: OperatorClient, base: number) => Promise<Result<Change, OperatorFailure>>,
  ): Promise<number> {
    const limitMs = parseDurationOption(this.limit)
    if (limitMs.isErr()) return this.fail(limitMs.error)
    const client = await this.client()
    if (client.isErr()) return this.fail(client.error)
    const base = await this.#baseRevision(client.value, environment)
    if (base.isErr()) return this.fail(base.error)
    const change = await buildChange(client.value, base.value)
    if (change.isErr()) return this.fail(change.error)
    const result = await client.value.submit({
      change: change.value,
      retryLimitMs: limitMs.value,
      onRetry: (reason) => {
        this.printNote(`result unknown (${reason}); retrying change ${this.changeId}`)
      },
    })
    return this.printResult(
      result.map((value) => ({ ...value, environment, changeId: this.changeId })),
      formatAccepted,
    )
  }

  async #baseRevision(client: OperatorClient, environment: string): Promise<Result<number, OperatorFailure>> {
    if (this.base !== undefined) {
      return /^\d+$/.test(this.base) ? ok(Number(this.base)) : err(failure('usage', '--base must be a revision number'))
    }
    const current = await fetchEnvironment(client, environment)
    if (current.isOk()) return ok(current.value.revision)
    return current.error.code === 'documentMissing' ? ok(0) : err(current.error)
  }
}

export class DocumentSubmit extends ChangeCommand {
  static override paths = [['document', 'submit']]
  static override usage = Command.Usage({
    category: DOCUMENTS,
    description: 'put a document in force in an environment',
    details: `
      The change is based on the revision in force. If another change was accepted in the meantime, it is rejected with
      exit status 51. If the response is lost, the same change is sent again. If its result remains unknown, the exit
      status is 53 and the message contains the change id to repeat.
    `,
    examples: [['Try a document', '$0 document submit document.ini --environment trial']],
  })

  file = Option.String({ name: 'document.ini' })
  environment = Option.String('--environment', 'trial', { description: 'default is trial' })

  override async execute(): Promise<number> {
    const text = await readDocumentFile(this.file)
    if (text.isErr()) return this.fail(text.error)
    const parsed = checkDocument(text.value)
    if (parsed.isErr()) return this.fail(invalidDocumentFailure(this.file, parsed.error))
    const { environment, changeId } = this
    return this.submitChange(environment, (_client, baseRevision) =>
      Promise.resolve(ok({ kind: 'submit', changeId, environment, baseRevision, document: text.value })),
    )
  }
}

export class DocumentPromote extends ChangeCommand {
  static override paths = [['document', 'promote']]
  static override usage = Command.Usage({
    category: DOCUMENTS,
    description: 'put the current document of trial in force in another environment',
    details: `
      The bytes are copied from trial and compared by digest. --source promotes an earlier revision of trial. With
      --digest the promotion is rejected if the document in trial has another digest.
    `,
    examples: [['Promote to production', '$0 document promote --environment production']],
  })

  environment = Option.String('--environment', 'production', { description: 'default is production' })
  source = Option.String('--source', { description: 'revision of trial; default is the one in force' })
  digest = Option.String('--digest', { description: 'expected digest of the document' })

  override async execute(): Promise<number> {
    const { environment, changeId } = this
    return this.submitChange(environment, async (client, baseRevision) => {
      const sourceDocument = await this.#resolveSource(client)
      return sourceDocument.map(({ revision, digest }) => ({
        kind: 'promote',
        changeId,
        environment,
        baseRevision,
        sourceRevision: revision,
        digest,
      }))
    })
  }

  async #resolveSource(client: OperatorClient): Promise<Result<{ revision: number; digest: string }, OperatorFailure>> {
    if (this.source !== undefined && this.digest !== undefined) {
      return ok({ revision: Number(this.source), digest: this.digest })
    }
    const history = await client.get('/v1/environments/trial/history', historySchema)
    if (history.isErr()) return err(history.error)
    const documents = history.value.documents
    const newest = Math.max(...documents.map((entry) => entry.revision))
    const wantedRevision = this.source === undefined ? newest : Number(this.source)
    const sourceDocument = documents.find((entry) => entry.revision === wantedRevision)
    if (sourceDocument === undefined)
      return err(failure('notInTrial', 'the history of trial does not contain this revision'))
    if (this.digest !== undefined && !sourceDocument.digest.startsWith(this.digest)) {
      return err(failure('notInTrial', `trial revision ${wantedRevision} has digest ${sourceDocument.digest}`))
    }
    return ok({ revision: sourceDocument.revision, digest: sourceDocument.digest })
  }
}

abstract class EnvironmentCommand extends NodeCommand {
  environment = Option.String('--environment', 'production', { description: 'default is production' })
}

export class DocumentShow extends EnvironmentCommand {
  static override paths = [['document', 'show']]
  static override usage = Command.Usage({
    category: DOCUMENTS,
    description: 'print the document in force',
    examples: [['Save the document of trial', '$0 document show --environment trial > document.ini']],
  })

  override execute(): Promise<number> {
    return this.request(
      (client) => fetchEnvironment(client, this.environment),
      ({ text }) => text,
    )
  }
}

export class DocumentStatus extends EnvironmentCommand {
  static override paths = [['document', 'status']]
  static override usage = Command.Usage({
    category: DOCUMENTS,
    description: 'print which revision is in force and on which nodes',
    details: 'With --wait the command returns when every live node has confirmed the revision.',
    examples: [['Wait until a change is in force everywhere', '$0 document status --environment trial --wait 11s']],
  })

  wait = Option.String('--wait', { description: 'maximum time to wait, for example 11s' })

  override async execute(): Promise<number> {
    const limitMs = parseDurationOption(this.wait ?? '0s')
    if (limitMs.isErr()) return this.fail(limitMs.error)
    const end = performance.now() + limitMs.value
    return this.request(async (client) => {
      for (;;) {
        const view = await fetchEnvironment(client, this.environment)
        const done = view.isErr() || view.value.inForceEverywhere === true
        if (done || performance.now() >= end) return view
        await new Promise((resolve) => setTimeout(resolve, STATUS_POLL_INTERVAL_MS))
      }
    }, formatEnvironment)
  }
}

export class DocumentHistory extends EnvironmentCommand {
  static override paths = [['document', 'history']]
  static override usage = Command.Usage({
    category: DOCUMENTS,
    description: 'list the most recent documents of an environment',
    examples: [['List the documents of production', '$0 document history']],
  })

  override execute(): Promise<number> {
    const path = `/v1/environments/${encodeURIComponent(this.environment)}/history`
    return this.request(
      (client) => client.get(path, historySchema),
      ({ documents }) =>
        formatTable(
          [
            { title: 'REVISION', value: (entry) => entry.revision },
            { title: 'TIME', value: (entry) => formatTime(entry.at) },
            { title: 'REQUESTER', value: (entry) => entry.requester },
            { title: 'DIGEST', value: (entry) => shortDigest(entry.digest) },
            { title: 'CHANGE', value: (entry) => entry.changeId },
          ],
          documents,
        ),
    )
  }
}

function fetchEnvironment(
  client: OperatorClient,
  environment: string,
): Promise<Result<EnvironmentView, OperatorFailure>> {
  return client.get(`/v1/environments/${encodeURIComponent(environment)}`, environmentSchema)
}

function formatEnvironment(view: EnvironmentView): string {
  const state = view.inForceEverywhere === true ? 'in force on every live node' : 'not yet confirmed by every live node'
  const head = `${view.environment}: revision ${view.revision}, digest ${shortDigest(view.digest)}, ${state}\n`
  const nodes = view.nodes ?? []
  if (nodes.length === 0) return head
  const columns = [
    { title: 'NODE', value: (entry: { node: string }) => entry.node },
    { title: 'REVISION', value: (entry: { revision: number }) => entry.revision },
  ]
  return head + formatTable(columns, nodes as { node: string; revision: number }[])
}

function formatAccepted(value: AcceptedChange & { environment: string; changeId: string }): string {
  const { environment, revision, digest, changeId } = value
  return `accepted: ${environment} revision ${revision}, digest ${shortDigest(digest)}, change ${changeId}\n`
}

/** Refuses bytes that decoding would replace, because the document in force would differ from the file. */
async function readDocumentFile(path: string): Promise<Result<string, Failure>> {
  const bytes = await readFileBytes(path)
  return bytes.andThen((content) => {
    if (isUtf8(content)) return ok(content.toString('utf8'))
    return err(
      failure('fileNotUtf8', `${path}, line ${firstLineNotUtf8(content)}: not valid UTF-8; nothing was changed.`),
    )
  })
}

function firstLineNotUtf8(content: Buffer): number {
  let line = 1
  let start = 0
  for (let end = content.indexOf(LINE_FEED); end >= 0; end = content.indexOf(LINE_FEED, start)) {
    if (!isUtf8(content.subarray(start, end))) return line
    line += 1
    start = end + 1
  }
  return line
}

function invalidDocumentFailure(file: string, faults: readonly Fault[]): OperatorFailure {
  const cause = failure('documentInvalid', `${file} has ${faults.length} faults; nothing was changed.`)
  return { ...cause, problem: { code: 50, faults: [...faults] } }
}
