/**
 * Log lines and metrics of responses that the entry did not accept, and of servers whose connections are therefore used
 * for one request only. One line tells the classes of such bytes apart. A server can send them all the time, so lines
 * are limited for each server, and for all of them together; the metric counts every refusal.
 */
import type { ServerId } from '@bilberrystall/base'
import type { EntryEvents, RefusedResponse, ResponseRefusal } from '@bilberrystall/entry'
import { LineBudget } from './line-budget'
import type { LogFields } from './log'
import type { NodeContext } from './node-context'
import { printableText } from './printable-text'

/** Shows whether a fault repeats and with which reasons, and leaves room for three more servers in the total. */
const SERVER_LINES = { linesPerSecond: 5, burst: 10 }
/** Equal to the limit of lines about failed calls, from which it is separate: one kind does not displace the other. */
const TOTAL_LINES = { linesPerSecond: 20, burst: 60 }
/** Beyond this, the server whose last refusal is the oldest gets a new budget; the total still applies. */
const MAX_SERVERS = 1024
/** Attempt ids in use have 16 to 36 characters. */
const MAX_TEXT_LENGTH = 100

type Reason = ResponseRefusal['kind']

interface ServerLines {
  readonly budget: LineBudget
  /** Lines omitted since the last one that was written. */
  omitted: number
}

export interface ResponseRefusalsOptions {
  readonly context: Pick<NodeContext, 'log' | 'metrics' | 'now'>
  /** Whether the server is in the directory. */
  readonly isKnown: (server: ServerId) => boolean
}

export type ResponseRefusalEvents = Required<Pick<EntryEvents, 'responseRefused' | 'reuseChanged'>>

export class ResponseRefusals {
  readonly #options: ResponseRefusalsOptions
  readonly #totalBudget: LineBudget
  /** Sorted by the time of the last refusal. */
  readonly #lines = new Map<ServerId, ServerLines>()
  readonly #withoutReuse = new Set<ServerId>()
  readonly #totals: Record<Reason, number> = {
    'stray-bytes': 0,
    malformed: 0,
    'joined-heads': 0,
    'repeated-field': 0,
    'invalid-status': 0,
    'other-attempt': 0,
    'unnamed-refusal': 0,
    unsigned: 0,
    encoded: 0,
    'head-in-body': 0,
  }

  readonly events: ResponseRefusalEvents = {
    responseRefused: (server, refused) => {
      this.#refused(server, refused)
    },
    reuseChanged: (server, mayReuse) => {
      this.#reuseChanged(server, mayReuse)
    },
  }

  constructor(options: ResponseRefusalsOptions) {
    this.#options = options
    const { metrics, now } = options.context
    this.#totalBudget = new LineBudget({ ...TOTAL_LINES, now })
    metrics.totals('responses_refused_total', 'Responses and other bytes of servers that were not accepted', {
      labelNames: ['reason'],
      read: () => Object.entries(this.#totals).map(([reason, total]) => ({ labels: { reason }, total })),
    })
    metrics.gauge(
      'servers_without_connection_reuse',
      'Servers whose connections are used for one request only',
      () => this.#withoutReuse.size,
    )
  }

  /** A server that left does not count any more, and its connections are not used again. */
  serverLeft(server: ServerId): void {
    this.#withoutReuse.delete(server)
  }

  #refused(server: ServerId, refused: RefusedResponse): void {
    this.#totals[refused.refusal.kind] += 1
    const lines = this.#linesOf(server)
    if (!lines.budget.tryTake() || !this.#totalBudget.tryTake()) {
      lines.omitted += 1
      return
    }
    const omitted = lines.omitted === 0 ? {} : { omitted: lines.omitted }
    lines.omitted = 0
    this.#options.context.log.warn('responseRefused', { server, ...describeRefused(refused), ...omitted })
  }

  #linesOf(server: ServerId): ServerLines {
    const { now } = this.#options.context
    const lines = this.#lines.get(server) ?? { budget: new LineBudget({ ...SERVER_LINES, now }), omitted: 0 }
    this.#lines.delete(server)
    this.#lines.set(server, lines)
    for (const oldest of this.#lines.keys()) {
      if (this.#lines.size <= MAX_SERVERS) break
      this.#lines.delete(oldest)
    }
    return lines
  }

  #reuseChanged(server: ServerId, mayReuse: boolean): void {
    const { context, isKnown } = this.#options
    if (mayReuse) {
      if (this.#withoutReuse.delete(server)) context.log.info('connectionReuseResumed', { server })
      return
    }
    // The last responses of a server may arrive after it left.
    if (this.#withoutReuse.has(server) || !isKnown(server)) return
    this.#withoutReuse.add(server)
    context.log.warn('connectionReuseStopped', { server })
  }
}

function describeRefused({ refusal, connection, requests, attempt }: RefusedResponse): LogFields {
  const id = attempt === undefined ? {} : { attempt: printableText(attempt, MAX_TEXT_LENGTH) }
  return { reason: refusal.kind, ...describeRefusal(refusal), connection, requests, ...id }
}

function describeRefusal(refusal: ResponseRefusal): LogFields {
  switch (refusal.kind) {
    case 'malformed':
      return { detail: printableText(refusal.detail, MAX_TEXT_LENGTH) }
    case 'repeated-field':
      return { field: printableText(refusal.field, MAX_TEXT_LENGTH) }
    case 'invalid-status':
      return { status: refusal.status }
    case 'other-attempt':
      return refusal.received === undefined ? {} : { received: printableText(refusal.received, MAX_TEXT_LENGTH) }
    case 'stray-bytes':
    case 'joined-heads':
    case 'unnamed-refusal':
    case 'unsigned':
    case 'encoded':
    case 'head-in-body':
      return {}
  }
}
