/** Workloads of the two users (design section 1.1): one document with a host for each user, and their calls. */
import type { Call } from './load'

/** Host of the user who inspects sites: site history, defect reports, crews and photos. */
export const INSPECTION_HOST = 'netcheck.example'
/** Host of the user who sends fitters to appointments: free slots, visits, deposits, route sheets and notes. */
export const APPOINTMENT_HOST = 'fitters.example'
export const SERVICES = [
  'site-history',
  'defect-intake',
  'dispatch-archive',
  'calendar',
  'booking',
  'payments',
] as const
export type WorkloadService = (typeof SERVICES)[number]

interface RouteDefinition {
  readonly name: string
  readonly service: WorkloadService
  readonly host: string
  readonly path: string
  readonly methods: 'GET' | 'POST'
  readonly extraSettings?: readonly string[]
}

const KEY_REQUIRED = ['repeatable = no', 'key = required']

const ROUTES: readonly RouteDefinition[] = [
  { name: 'history', service: 'site-history', host: INSPECTION_HOST, path: '/sites', methods: 'GET' },
  {
    name: 'report',
    service: 'defect-intake',
    host: INSPECTION_HOST,
    path: '/defects',
    methods: 'POST',
    extraSettings: KEY_REQUIRED,
  },
  {
    name: 'crew',
    service: 'dispatch-archive',
    host: INSPECTION_HOST,
    path: '/crews',
    methods: 'POST',
    extraSettings: KEY_REQUIRED,
  },
  {
    name: 'photos',
    service: 'dispatch-archive',
    host: INSPECTION_HOST,
    path: '/photos',
    methods: 'GET',
    extraSettings: ['urgency = deferrable', 'deadline = 60s'],
  },
  { name: 'slots', service: 'calendar', host: APPOINTMENT_HOST, path: '/slots', methods: 'GET' },
  {
    name: 'visit',
    service: 'booking',
    host: APPOINTMENT_HOST,
    path: '/visits',
    methods: 'POST',
    extraSettings: KEY_REQUIRED,
  },
  {
    name: 'deposit',
    service: 'payments',
    host: APPOINTMENT_HOST,
    path: '/deposits',
    methods: 'POST',
    extraSettings: KEY_REQUIRED,
  },
  {
    name: 'sheets',
    service: 'payments',
    host: APPOINTMENT_HOST,
    path: '/route-sheets',
    methods: 'GET',
    extraSettings: ['urgency = deferrable'],
  },
  // Not repeatable and without a key, so the entry must never send a call twice.
  {
    name: 'note',
    service: 'booking',
    host: APPOINTMENT_HOST,
    path: '/notes',
    methods: 'POST',
    extraSettings: ['repeatable = no', 'deadline = 4s'],
  },
]

export function workloadDocument(title = 'Workloads of both users'): string {
  const services = SERVICES.map((service) => `[service.${service}]\nmeasuring-budget = 0.5%\n`)
  return [`[document]\ntitle = ${title}\nkey-retention = 10m\n`, ...services, ...ROUTES.map(formatRoute)].join('\n')
}

function formatRoute(route: RouteDefinition): string {
  const { name, service, host, path, methods, extraSettings } = route
  const repeatable = methods === 'GET' ? ['repeatable = yes'] : []
  const lines = [`service = ${service}`, `host = ${host}`, `path = ${path}`, `methods = ${methods}`]
  return [`[route.${name}]`, ...lines, ...repeatable, ...(extraSettings ?? []), ''].join('\n')
}

export const READS: readonly Call[] = [
  { method: 'GET', host: INSPECTION_HOST, path: '/sites/17/history' },
  { method: 'GET', host: APPOINTMENT_HOST, path: '/slots?week=31' },
  { method: 'GET', host: APPOINTMENT_HOST, path: '/route-sheets/tomorrow' },
]

export const KEYED_WRITES: readonly Call[] = [
  { method: 'POST', host: INSPECTION_HOST, path: '/defects', body: 'torn net above km 12' },
  { method: 'POST', host: INSPECTION_HOST, path: '/crews', body: 'crew 4 to km 12' },
  { method: 'POST', host: APPOINTMENT_HOST, path: '/visits', body: 'visit on Tuesday' },
  { method: 'POST', host: APPOINTMENT_HOST, path: '/deposits', body: '400 CZK' },
]

/** Call that downloads an archived survey photo. */
export function photoDownload(bytes: number): Call {
  return { method: 'GET', host: INSPECTION_HOST, path: `/photos/survey-7?bytes=${bytes}`, photoBytes: bytes }
}
