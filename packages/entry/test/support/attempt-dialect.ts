/**
 * A dialect in which servers return attempt ids, sign successful responses and send instance ids, with the responses of
 * fake servers that speak it.
 */
import { failureDomain, seededRandom } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { Router } from '@bilberrystall/routing'
import { DEFAULT_DIALECT, type Dialect, type EntryOptions } from '../../src/index'
import { respond, startEntry, type FakeServer, type ReceivedRequest, type Setup } from '../harness'

export const ATTEMPT_DIALECT: Dialect = {
  ...DEFAULT_DIALECT,
  deadlineHeader: 'x-left',
  acceptsCallerDeadline: true,
  notRunHeader: 'x-not-run',
  isNotRun: () => true,
  loadHeader: 'x-load',
  attemptHeader: 'x-attempt',
  attemptIds: 'caller',
  instanceHeader: 'x-instance',
  instanceResponseHeader: 'x-self',
  signatureHeader: 'x-signature',
  propagatesContext: false,
  probePath: undefined,
  retryAfter: (waitMs) => (waitMs / 1000).toFixed(3),
}

const DOCUMENT = `
[document]
title = test
[service.booking]
health-path = /well
[route.read]
service = booking
path = /read
repeatable = yes
target = 200ms
deadline = 2s
[route.write]
service = booking
path = /write
methods = POST
deadline = 1s
[route.keyed]
service = booking
path = /keyed
methods = POST
deadline = 1s
key = optional
`

export const ATTEMPT_DOCUMENT = parseDocument(DOCUMENT)._unsafeUnwrap()

/** For tests in which no call may reach its deadline, however busy the machine is. */
export const PATIENT_ATTEMPT_DOCUMENT = parseDocument(
  DOCUMENT.replaceAll(/deadline = \ds/g, 'deadline = 20s'),
)._unsafeUnwrap()

export const FREE_LOAD = 'x-load: inflight=0;slots=3;queue=0'

export const header = ({ head }: ReceivedRequest, name: string): string | undefined =>
  new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]

export const isProbe = ({ head }: ReceivedRequest): boolean => head.startsWith('GET /well')

export function complete(received: ReceivedRequest, body = 'done', head: readonly string[] = [FREE_LOAD]): void {
  respond(received, body, [`x-attempt: ${header(received, 'x-attempt') ?? ''}`, 'x-signature: s', ...head])
}

export function respondToProbe(received: ReceivedRequest, load = FREE_LOAD): void {
  respond(received, '', [load, `x-self: ${header(received, 'x-instance') ?? ''}`])
}

/** Starts an entry that queries the load of servers before each call. */
export function startQueryingEntry(
  servers: readonly FakeServer[],
  options: Partial<EntryOptions> = {},
): Promise<Setup> {
  const loadQueries = { perServerPerSecond: () => 1000, entry: 'entry-1', domain: failureDomain('domain-1') }
  const router = new Router({ random: seededRandom(3), loadQueries })
  return startEntry(servers, { dialect: ATTEMPT_DIALECT, router, document: () => ATTEMPT_DOCUMENT, ...options })
}
