/**
 * The document that operators write: the services of an environment and the settings of its routes. The text does not
 * contain the name of the environment, so the bytes that were tested in trial can be promoted unchanged to production.
 */
import { createHash } from 'node:crypto'
import {
  organisationName,
  serviceName,
  toDigest,
  type Digest,
  type Fault,
  type OrganisationName,
  type ServiceName,
} from '@bilberrystall/base'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { decimal, duration, flag, integer, list, name, percentage, size, weightedServices } from './field'
import { parseIni } from './ini'
import { findUnencodableText } from './sections'

/** 1 MiB: four times the size of a document with a thousand routes of about 250 bytes each. */
export const MAX_DOCUMENT_BYTES = 1_048_576
const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const
const DAY_MS = 86_400_000
/** Ten minutes: calls that take longer should use an asynchronous API. */
const MAX_DEADLINE_MS = 600_000
/** Value of `methods` that matches every method. */
const ANY_METHOD = '*'
const MAX_RATE = 1_000_000_000
/** Printable ASCII without the comma, which separates the keys of a list. */
const KEY_PATTERN = /^[!-+\--~]{1,200}$/

export type Method = (typeof METHODS)[number]
/** Urgent calls are dispatched before deferrable ones. */
export type Urgency = 'urgent' | 'deferrable'
/** Whether a route ignores, accepts or requires an idempotency key. */
export type KeyPolicy = 'none' | 'optional' | 'required'

export interface Service {
  readonly name: ServiceName
  /** Maximum share of the service's slot time that probes from all entries together may use. */
  readonly measuringBudget: number
  /** Maximum share of calls that may be retries. */
  readonly retryBudget: number
  /** Maximum number of calls in flight from one entry. */
  readonly concurrency: number
  /** Path of the health endpoint of the servers. */
  readonly healthPath: string
  /** Maximum number of connections that a server of the service accepts from all entries together. */
  readonly connectionLimit: number
  readonly protocol: 'h1'
  readonly tls: boolean
  /** How long a server is cold after its start, in ms; undefined if the service does not say. */
  readonly warmUpMs: number | undefined
  /** Requests per second that a cold server bears from all entries together; undefined without a limit. */
  readonly warmUpRate: number | undefined
  /** Largest share of the calls that may get a hedged attempt; undefined if the setting of the entry applies. */
  readonly hedgeLimit: number | undefined
}

/** An organisation whose callers identify themselves by a key. */
export interface Organisation {
  readonly name: OrganisationName
  readonly keys: readonly string[]
  /** 0 is the highest; takes precedence over the priority of the route. */
  readonly priority: number | undefined
  /** Requests per second over all entries together; undefined or 0 without a limit. */
  readonly rate: number | undefined
  /** Requests beyond the rate that may come at once. */
  readonly burst: number | undefined
}

/** A service with its weight in the traffic split of a route. */
export interface WeightedService {
  readonly service: ServiceName
  /** The service receives this weight divided by the sum of the weights of the split. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  /** Service that receives the calls; the first service of a traffic split. */
  readonly service: ServiceName
  /** Traffic split among services; empty if all calls go to `service`. */
  readonly split: readonly WeightedService[]
  /** Exact host name in lower case; undefined matches any host. */
  readonly host: string | undefined
  /** The host name as it is written in the document. */
  readonly writtenHost: string | undefined
  /**
   * Path prefix. A prefix that ends in `/` matches every path that starts with it; any other matches itself and the
   * paths below it.
   */
  readonly path: string
  readonly methods: ReadonlySet<string>
  /** Whether every method is accepted, including methods that `methods` cannot list. */
  readonly anyMethod: boolean
  readonly urgency: Urgency
  /** Priority among the routes; 0 is the highest. */
  readonly priority: number
  /** Target latency in ms: a response within this time has its full value. */
  readonly targetMs: number | undefined
  /** Whether requests are idempotent and may run more than once. */
  readonly repeatable: boolean
  readonly key: KeyPolicy
  readonly deadlineMs: number
  /** Maximum number of attempts per call. */
  readonly attempts: number
  readonly maxBodyBytes: number
  /** Whether callers need no key of an organisation. */
  readonly isPublic: boolean
  readonly hasLargeResponses: boolean
}

/** Limits that apply to the callers of every route. */
export interface CallerLimits {
  readonly headBytes: number
  /** Maximum size of a request body if the route does not set its own. */
  readonly bodyBytes: number
  /** Timeout for receiving the request head from a caller. */
  readonly headMs: number
  /** Time after which an idle connection to a caller is closed. */
  readonly idleMs: number
}

export interface Document {
  readonly title: string
  readonly callerLimits: CallerLimits
  /** How long an idempotency key is valid, counted from the time in the key. */
  readonly keyRetentionMs: number
  readonly services: ReadonlyMap<ServiceName, Service>
  readonly routes: readonly Route[]
  /** Whether calls of routes that are not public need the key of an organisation. */
  readonly requiresKeys: boolean
  readonly organisations: ReadonlyMap<OrganisationName, Organisation>
  readonly organisationsByKey: ReadonlyMap<string, Organisation>
}

const serviceSchema = z.strictObject({
  'measuring-budget': percentage.default(0.005),
  'retry-budget': percentage.default(0.1),
  concurrency: integer(1, 100_000).default(1000),
  'health-path': z.string().regex(/^\//, 'must start with /').default('/health'),
  'connection-limit': integer(1, 1_000_000).default(1_000_000),
  protocol: z.literal('h1', 'must be h1').default('h1'),
  tls: flag.default(false),
  'warm-up': duration(0, DAY_MS).optional(),
  'warm-up-rate': decimal(MAX_RATE).optional(),
  'hedge-limit': percentage.optional(),
})

const routeSchema = z.strictObject({
  service: name.optional(),
  split: weightedServices.optional(),
  host: z.string().optional(),
  path: z.string().regex(/^\//, 'must start with /').default('/'),
  methods: list.default(['GET', 'HEAD']),
  urgency: z.enum(['urgent', 'deferrable'], 'must be urgent or deferrable').default('urgent'),
  repeatable: flag.default(false),
  key: z.enum(['none', 'optional', 'required'], 'must be none, optional or required').default('none'),
  priority: integer(0, 1_000).default(0),
  target: duration(1, MAX_DEADLINE_MS).optional(),
  deadline: duration(1, MAX_DEADLINE_MS).default(10_000),
  attempts: integer(1, 100).default(3),
  'max-body': size(0, 1_073_741_824).optional(),
  public: flag.default(false),
  'large-responses': flag.default(false),
})

const organisationSchema = z.strictObject({
  keys: list.pipe(z.array(z.string().regex(KEY_PATTERN, 'must be printable ASCII, at most 200 characters'))),
  priority: integer(0, 1_000).optional(),
  rate: decimal(MAX_RATE).optional(),
  burst: decimal(MAX_RATE).optional(),
})

const documentSchema = z.strictObject({
  document: z.strictObject({
    title: z.string().min(1).max(200),
    'key-retention': duration(60_000, DAY_MS).default(3_600_000),
    'max-head': size(256, 1_048_576).default(16_384),
    'max-body': size(0, 1_073_741_824).default(1_048_576),
    'head-timeout': duration(1, MAX_DEADLINE_MS).default(10_000),
    // Longer than the usual 60 s of a platform's load balancers, so that they close idle connections first.
    'idle-timeout': duration(1, MAX_DEADLINE_MS).default(75_000),
    // Stays in force when the last organisation is removed, which must not open the routes to everyone.
    'require-keys': flag.default(false),
  }),
  service: z.record(name, serviceSchema).default({}),
  route: z.record(name, routeSchema).default({}),
  organisation: z.record(name, organisationSchema).default({}),
})

type RawDocument = z.output<typeof documentSchema>
type RawRoute = z.output<typeof routeSchema>

/** Parses and validates a document. The error lists every fault. */
export function parseDocument(text: string): Result<Document, readonly Fault[]> {
  if (Buffer.byteLength(text) > MAX_DOCUMENT_BYTES) {
    return err([{ section: 'document', key: '', reason: `is larger than ${MAX_DOCUMENT_BYTES} bytes` }])
  }
  return parseIni(text, documentSchema).andThen((raw) => {
    const faults = findCrossSectionFaults(raw)
    return faults.length > 0 ? err(faults) : ok(toDocument(raw))
  })
}

/**
 * Parses and validates a document that an operator sends. It refuses some documents that earlier builds accepted by
 * mistake. Documents in the log are parsed by `parseDocument`, so that replicas of all builds agree on them.
 */
export function checkDocument(text: string): Result<Document, readonly Fault[]> {
  return parseDocument(text).andThen((document) => {
    const faults = document.routes.flatMap(({ name: routeName, service, split }) =>
      [service, ...split.map((part) => part.service)]
        .filter((candidate) => !document.services.has(candidate))
        .map((unknown) => ({
          section: `route.${routeName}`,
          key: 'service',
          reason: `names no section [service.${unknown}]`,
        })),
    )
    faults.push(...findUnencodableText(text))
    return faults.length > 0 ? err(faults) : ok(document)
  })
}

/** SHA-256 of the document's bytes; identifies the document in changes, promotions and the audit log. */
export function documentDigest(text: string): Digest {
  return toDigest(createHash('sha256').update(text).digest('hex'))
}

const WARM_UP_DOCUMENT = '[document]\ntitle = start\n[service.a]\n[route.a]\nservice = a\npath = /\n'

/** Compiles the schemas by parsing a small document, so that the first real document is parsed without that delay. */
export function warmUpParser(): void {
  parseDocument(WARM_UP_DOCUMENT)
}

function findCrossSectionFaults(raw: RawDocument): Fault[] {
  const faults: Fault[] = []
  const seenMatches = new Map<string, string>()
  for (const [routeName, route] of Object.entries(raw.route)) {
    const section = `route.${routeName}`
    faults.push(...findServiceFaults(raw, section, route))
    if (route.key !== 'none' && route.repeatable) {
      faults.push({ section, key: 'key', reason: 'is allowed only for routes with repeatable = no' })
    }
    for (const method of route.methods) {
      if (method !== ANY_METHOD && !METHODS.includes(method as Method)) {
        faults.push({ section, key: 'methods', reason: `${method} is not one of ${METHODS.join(', ')}` })
      }
      const match = `${method} ${route.host?.toLowerCase() ?? '*'} ${route.path}`
      const other = seenMatches.get(match)
      if (other !== undefined) faults.push({ section, key: 'path', reason: `matches the same calls as ${other}` })
      seenMatches.set(match, section)
    }
  }
  return [...faults, ...findSharedKeys(raw)]
}

function findSharedKeys(raw: RawDocument): Fault[] {
  const owners = new Map<string, string>()
  const faults: Fault[] = []
  for (const [organisation, { keys }] of Object.entries(raw.organisation)) {
    for (const key of keys) {
      const owner = owners.get(key) ?? organisation
      owners.set(key, owner)
      // The reason does not contain the key, because faults are logged.
      const reason = `shares a key with organisation.${owner}`
      if (owner !== organisation) faults.push({ section: `organisation.${organisation}`, key: 'keys', reason })
    }
  }
  return faults
}

function findServiceFaults(raw: RawDocument, section: string, route: RawRoute): Fault[] {
  if ((route.service === undefined) === (route.split === undefined)) {
    return [{ section, key: 'service', reason: 'exactly one of service and split is required' }]
  }
  const parts = weightedServicesOf(route)
  const faults = parts
    .filter(({ service }) => raw.service[service] === undefined)
    .map(({ service }) => ({ section, key: 'service', reason: `names no section [service.${service}]` }))
  if (parts.reduce((sum, { weight }) => sum + weight, 0) > 0) return faults
  return [...faults, { section, key: 'split', reason: 'at least one weight must be above 0' }]
}

function weightedServicesOf(route: RawRoute): readonly WeightedService[] {
  return route.split ?? (route.service === undefined ? [] : [{ service: serviceName(route.service), weight: 1 }])
}

function toDocument(raw: RawDocument): Document {
  const services = Object.entries(raw.service).map(([key, value]): [ServiceName, Service] => [
    serviceName(key),
    {
      name: serviceName(key),
      measuringBudget: value['measuring-budget'],
      retryBudget: value['retry-budget'],
      concurrency: value.concurrency,
      healthPath: value['health-path'],
      connectionLimit: value['connection-limit'],
      protocol: value.protocol,
      tls: value.tls,
      warmUpMs: value['warm-up'],
      warmUpRate: value['warm-up-rate'],
      hedgeLimit: value['hedge-limit'],
    },
  ])
  const { document } = raw
  const routes = Object.entries(raw.route).map(([key, value]) => toRoute(key, value, document['max-body']))
  const organisations = Object.entries(raw.organisation).map(([key, value]): Organisation => {
    const { keys, priority, rate, burst } = value
    return { name: organisationName(key), keys, priority, rate, burst }
  })
  return {
    title: document.title,
    callerLimits: {
      headBytes: document['max-head'],
      bodyBytes: document['max-body'],
      headMs: document['head-timeout'],
      idleMs: document['idle-timeout'],
    },
    keyRetentionMs: document['key-retention'],
    services: new Map(services),
    routes: routes.sort(compareBySpecificity),
    requiresKeys: document['require-keys'] || organisations.length > 0,
    organisations: new Map(organisations.map((organisation) => [organisation.name, organisation])),
    organisationsByKey: new Map(
      organisations.flatMap((organisation) => organisation.keys.map((key) => [key, organisation] as const)),
    ),
  }
}

function toRoute(routeName: string, raw: RawRoute, maxBodyBytes: number): Route {
  const parts = weightedServicesOf(raw)
  return {
    name: routeName,
    service: parts[0]?.service ?? serviceName(''),
    split: raw.split ?? [],
    host: raw.host?.toLowerCase(),
    writtenHost: raw.host,
    path: raw.path,
    methods: new Set(raw.methods),
    anyMethod: raw.methods.includes(ANY_METHOD),
    urgency: raw.urgency,
    priority: raw.priority,
    targetMs: raw.target,
    repeatable: raw.repeatable,
    key: raw.key,
    deadlineMs: raw.deadline,
    attempts: raw.attempts,
    maxBodyBytes: raw['max-body'] ?? maxBodyBytes,
    isPublic: raw.public,
    hasLargeResponses: raw['large-responses'],
  }
}

function compareBySpecificity(left: Route, right: Route): number {
  const byHost = Number(left.host === undefined) - Number(right.host === undefined)
  if (byHost !== 0) return byHost
  const byLength = right.path.length - left.path.length
  return byLength !== 0 ? byLength : left.name.localeCompare(right.name)
}
