/**
 * The operators' document: which services an environment exposes and how each route is treated. The text does not name
 * its environment, so the same bytes that were tried in trial can be promoted to production.
 */
import { createHash } from 'node:crypto'
import { digestOf, serviceName, type Digest, type Fault, type ServiceName } from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { duration, flag, integer, list, name, share, size } from './field'
import { readIni } from './ini'

export const DOCUMENT_LIMIT_BYTES = 262_144
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const
const DAY_MS = 86_400_000

export type Method = (typeof METHODS)[number]
/** Urgent calls go before deferrable ones, which may wait. */
export type Urgency = 'urgent' | 'deferrable'
/** Whether a route accepts or demands an idempotency key. */
export type KeyRule = 'none' | 'optional' | 'required'

export interface Service {
  readonly name: ServiceName
  /** Share of the service's slot time that probes may take over all entries together. */
  readonly measuringBudget: number
  /** Share of calls that may be retries. */
  readonly retryBudget: number
  /** Most calls in flight from one entry. */
  readonly concurrency: number
}

export interface Route {
  readonly name: string
  readonly service: ServiceName
  /** Exact host name in lower case; undefined matches every host. */
  readonly host: string | undefined
  /** Path prefix; a prefix that ends in `/` matches below it, another one matches itself and paths below it. */
  readonly path: string
  readonly methods: ReadonlySet<string>
  readonly urgency: Urgency
  /** Whether the request is idempotent and may run more than once. */
  readonly repeatable: boolean
  readonly key: KeyRule
  readonly deadlineMs: number
  /** Most servers tried for one call. */
  readonly attempts: number
  readonly maxBodyBytes: number
}

export interface Document {
  readonly title: string
  /** How long an idempotency key counts, from the time in the key. */
  readonly keyRetentionMs: number
  readonly services: ReadonlyMap<ServiceName, Service>
  readonly routes: readonly Route[]
}

const serviceSchema = z.strictObject({
  'measuring-budget': share.default(0.005),
  'retry-budget': share.default(0.1),
  concurrency: integer(1, 100_000).default(1000),
})

const routeSchema = z.strictObject({
  service: name,
  host: z.string().optional(),
  path: z.string().regex(/^\//, 'must start with /').default('/'),
  methods: list.default(['GET', 'HEAD']),
  urgency: z.enum(['urgent', 'deferrable'], 'must be urgent or deferrable').default('urgent'),
  repeatable: flag.default(false),
  key: z.enum(['none', 'optional', 'required'], 'must be none, optional or required').default('none'),
  deadline: duration(1, 3_600_000).default(10_000),
  attempts: integer(1, 10).default(3),
  'max-body': size(0, 1_073_741_824).default(1_048_576),
})

const documentSchema = z.strictObject({
  document: z.strictObject({
    title: z.string().min(1).max(200),
    'key-retention': duration(60_000, DAY_MS).default(3_600_000),
  }),
  service: z.record(name, serviceSchema),
  route: z.record(name, routeSchema),
})

type RawDocument = z.output<typeof documentSchema>

/** Parses and checks a document as a whole; the error lists every fault. */
export function parseDocument(text: string): Result<Document, readonly Fault[]> {
  if (Buffer.byteLength(text) > DOCUMENT_LIMIT_BYTES) {
    return err([{ section: 'document', key: '', reason: `is larger than ${DOCUMENT_LIMIT_BYTES} bytes` }])
  }
  return readIni(text, documentSchema).andThen((raw) => {
    const faults = crossFaults(raw)
    return faults.length > 0 ? err(faults) : ok(toDocument(raw))
  })
}

/** SHA-256 of the document's bytes, which identifies it in changes, promotion and audit. */
export function documentDigest(text: string): Digest {
  return digestOf(createHash('sha256').update(text).digest('hex'))
}

function crossFaults(raw: RawDocument): Fault[] {
  const faults: Fault[] = []
  const places = new Map<string, string>()
  for (const [routeName, route] of Object.entries(raw.route)) {
    const section = `route.${routeName}`
    if (raw.service[route.service] === undefined) {
      faults.push({ section, key: 'service', reason: `names no section [service.${route.service}]` })
    }
    if (route.key !== 'none' && route.repeatable) {
      faults.push({ section, key: 'key', reason: 'is only for routes with repeatable = no' })
    }
    for (const method of route.methods) {
      if (!METHODS.includes(method as Method)) {
        faults.push({ section, key: 'methods', reason: `${method} is not one of ${METHODS.join(', ')}` })
      }
      const place = `${method} ${route.host?.toLowerCase() ?? '*'} ${route.path}`
      const other = places.get(place)
      if (other !== undefined) faults.push({ section, key: 'path', reason: `matches the same calls as ${other}` })
      places.set(place, section)
    }
  }
  return faults
}

function toDocument(raw: RawDocument): Document {
  const services = Object.entries(raw.service).map(([key, value]): [ServiceName, Service] => [
    serviceName(key),
    {
      name: serviceName(key),
      measuringBudget: value['measuring-budget'],
      retryBudget: value['retry-budget'],
      concurrency: value.concurrency,
    },
  ])
  const routes = Object.entries(raw.route).map(([key, value]) => toRoute(key, value))
  return {
    title: raw.document.title,
    keyRetentionMs: raw.document['key-retention'],
    services: new Map(services),
    routes: routes.sort(moreSpecificFirst),
  }
}

function toRoute(routeName: string, raw: z.output<typeof routeSchema>): Route {
  return {
    name: routeName,
    service: serviceName(raw.service),
    host: raw.host?.toLowerCase(),
    path: raw.path,
    methods: new Set(raw.methods),
    urgency: raw.urgency,
    repeatable: raw.repeatable,
    key: raw.key,
    deadlineMs: raw.deadline,
    attempts: raw.attempts,
    maxBodyBytes: raw['max-body'],
  }
}

function moreSpecificFirst(left: Route, right: Route): number {
  const byHost = Number(left.host === undefined) - Number(right.host === undefined)
  if (byHost !== 0) return byHost
  const byLength = right.path.length - left.path.length
  return byLength !== 0 ? byLength : left.name.localeCompare(right.name)
}
