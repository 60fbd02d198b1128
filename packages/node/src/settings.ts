/** Settings of a node: an INI file, validated as a whole, and the secrets from the files that it references. */
import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import {
  environmentName,
  errorMessage,
  failure,
  failureDomain,
  nodeId,
  type Environment,
  type Failure,
  type FailureDomain,
  type NodeId,
} from '@bilberrystall/base'
import { field, formatFaults, parseIni } from '@bilberrystall/document'
import type { Role } from '@bilberrystall/membership'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'

const MIN_SECRET_LENGTH = 16
const DEFAULT_REPLICAS = 3

export interface EntrySettings {
  readonly environment: Environment
  /** Listen address for callers. */
  readonly listen: string
  /** Listen address for calls of other entries that reach no server; undefined if this entry accepts none. */
  readonly relayListen: string | undefined
  /** Undefined if servers need no key. */
  readonly serverKey: string | undefined
  /** How long the health endpoint reports `leaving` before connections are refused. */
  readonly balancerGraceMs: number
  /** How long a graceful shutdown waits for calls in flight. */
  readonly stopLimitMs: number
  /**
   * Interval at which servers renew their announcements if control decides on departures; undefined if departures are
   * detected by short leases.
   */
  readonly renewalMs: number | undefined
  /** Largest share of the calls of a service that may get a hedged attempt; undefined without a limit. */
  readonly hedgeLimit: number | undefined
}

export interface ControlSettings {
  /** Listen address for operators; undefined if they use control through an adapter. */
  readonly listen: string | undefined
  readonly dataFolder: string
  /** SHA-256 digest of each operator's key, by operator name. */
  readonly operatorKeys: ReadonlyMap<string, string>
  /** Whether a replica with an empty data folder bootstraps a new cluster. */
  readonly bootstrap: boolean
  /** Target number of replicas that self-repair maintains. */
  readonly replicas: number
  /** Minimum number of voters without which control accepts no requests. */
  readonly minVoters: number
  /** Time without contact after which a replica is replaced. */
  readonly lostAfterMs: number
}

export interface Settings {
  readonly node: NodeId
  readonly roles: readonly Role[]
  /** RPC address that other nodes connect to. */
  readonly address: string
  /** Listen address for RPC; differs from `address` if that is mapped, for example by NAT. */
  readonly rpcListen: string
  /** Listen address for server announcements, health and metrics. */
  readonly statusListen: string
  /** Whether this process takes part in bootstrapping a new cluster. */
  readonly firstStart: boolean
  readonly failureDomain: FailureDomain
  readonly region: string
  /** RPC addresses of nodes to contact on startup. */
  readonly seeds: readonly string[]
  /** Empty if nodes need no key. */
  readonly nodeKey: string
  /** Settings of the adapter for the operator's platform; undefined without an adapter. */
  readonly platform: Readonly<Record<string, string>> | undefined
  readonly entry: EntrySettings | undefined
  readonly control: ControlSettings | undefined
}

const settingsSchema = z.strictObject({
  node: z.strictObject({
    name: field.name,
    roles: field.list.pipe(z.array(z.enum(['entry', 'control'], 'must be entry, control or both')).min(1)),
    address: field.address,
    'rpc-listen': field.address.optional(),
    'status-listen': field.address,
    'failure-domain': field.name,
    region: field.name.default('default'),
    seeds: field.list.pipe(z.array(field.address)).default([]),
    // Replaces the port of the seeds, for platforms that list the seeds with the port of another listener.
    'seeds-port': field.integer(1, 65_535).optional(),
    // On a first start the seeds elect the replica that bootstraps the cluster.
    'first-start': field.flag.default(false),
    'node-key-file': z.string().min(1).optional(),
  }),
  platform: z.record(z.string(), z.string()).optional(),
  entry: z
    .strictObject({
      environment: field.name,
      listen: field.address,
      'relay-listen': field.address.optional(),
      // For platforms that hand out a range of ports: added to the port of `address`.
      'relay-port-offset': field.integer(1, 1_000).optional(),
      'server-key-file': z.string().min(1).optional(),
      renewal: field.duration(100, 60_000).optional(),
      'balancer-grace': field.duration(0, 60_000).default(3000),
      'stop-limit': field.duration(100, 600_000).default(30_000),
      'hedge-limit': field.percentage.optional(),
    })
    .optional(),
  control: z
    .strictObject({
      listen: field.address.optional(),
      'data-folder': z.string().min(1),
      'operator-keys-file': z.string().min(1).optional(),
      bootstrap: field.flag.default(false),
      replicas: field.integer(1, 5).optional(),
      losses: field.integer(0, 2).optional(),
      'lost-after': field.duration(500, 3_600_000).default(60_000),
    })
    .optional(),
})

type RawSettings = z.output<typeof settingsSchema>

/** Reads and validates a settings file; paths in it are relative to its folder. */
export function readSettings(file: string): Result<Settings, Failure> {
  return readText(file).andThen((text) => parseSettings(text, dirname(resolve(file))))
}

export function parseSettings(text: string, folder: string): Result<Settings, Failure> {
  return parseIni(text, settingsSchema)
    .mapErr((faults) => failure('settingsInvalid', formatFaults(faults)))
    .andThen((raw) => resolveSettings(raw, folder))
}

function resolveSettings(raw: RawSettings, folder: string): Result<Settings, Failure> {
  const { node, entry, control, platform } = raw
  const missing = node.roles.filter((role) => raw[role] === undefined)
  if (missing.length > 0) {
    const faults = missing.map((role) => ({ section: role, key: '', reason: `is required by role ${role}` }))
    return err(failure('settingsInvalid', formatFaults(faults)))
  }
  const keyFile = node['node-key-file']
  const nodeKey = keyFile === undefined ? ok('') : readSecret(folder, keyFile)
  if (nodeKey.isErr()) return err(nodeKey.error)
  const entrySettings =
    node.roles.includes('entry') && entry !== undefined ? readEntry(entry, node.address, folder) : ok(undefined)
  if (entrySettings.isErr()) return err(entrySettings.error)
  const controlSettings =
    node.roles.includes('control') && control !== undefined ? readControl(control, folder) : ok(undefined)
  if (controlSettings.isErr()) return err(controlSettings.error)
  return ok({
    node: nodeId(node.name),
    roles: node.roles,
    address: node.address,
    rpcListen: node['rpc-listen'] ?? node.address,
    statusListen: node['status-listen'],
    failureDomain: failureDomain(node['failure-domain']),
    region: node.region,
    firstStart: node['first-start'],
    seeds: node.seeds.map((seed) => withPort(seed, node['seeds-port'])),
    nodeKey: nodeKey.value,
    platform,
    entry: entrySettings.value,
    control: controlSettings.value,
  })
}

function readEntry(
  raw: NonNullable<RawSettings['entry']>,
  address: string,
  folder: string,
): Result<EntrySettings, Failure> {
  const keyFile = raw['server-key-file']
  const key: Result<string | undefined, Failure> = keyFile === undefined ? ok(undefined) : readSecret(folder, keyFile)
  return key.map((serverKey) => ({
    environment: environmentName(raw.environment),
    listen: raw.listen,
    relayListen: raw['relay-listen'] ?? withPortOffset(address, raw['relay-port-offset']),
    serverKey,
    balancerGraceMs: raw['balancer-grace'],
    stopLimitMs: raw['stop-limit'],
    renewalMs: raw.renewal,
    hedgeLimit: raw['hedge-limit'],
  }))
}

function readControl(raw: NonNullable<RawSettings['control']>, folder: string): Result<ControlSettings, Failure> {
  const keysFile = raw['operator-keys-file']
  const keys = keysFile === undefined ? ok(new Map<string, string>()) : readOperatorKeys(folder, keysFile)
  const { losses } = raw
  const replicas = raw.replicas ?? (losses === undefined ? DEFAULT_REPLICAS : 2 * losses + 1)
  return keys.map((operatorKeys) => ({
    listen: raw.listen,
    dataFolder: resolve(folder, raw['data-folder']),
    operatorKeys,
    bootstrap: raw.bootstrap,
    replicas,
    // Without a configured number of losses a single replica is sufficient, for example to try out the system.
    minVoters: losses === undefined ? 1 : replicas,
    lostAfterMs: raw['lost-after'],
  }))
}

function withPort(address: string, port: number | undefined): string {
  return port === undefined ? address : `${address.slice(0, address.lastIndexOf(':'))}:${port}`
}

function withPortOffset(address: string, offset: number | undefined): string | undefined {
  if (offset === undefined) return undefined
  const colon = address.lastIndexOf(':')
  return `${address.slice(0, colon)}:${Number(address.slice(colon + 1)) + offset}`
}

function readSecret(folder: string, file: string): Result<string, Failure> {
  return readText(resolve(folder, file)).andThen((text) => {
    const secret = text.trim()
    if (secret.length >= MIN_SECRET_LENGTH) return ok(secret)
    return err(failure('settingsInvalid', `${file}: a key needs at least ${MIN_SECRET_LENGTH} characters`))
  })
}

/** Each line contains an operator's name and the SHA-256 digest of the operator's key in hexadecimal. */
function readOperatorKeys(folder: string, file: string): Result<ReadonlyMap<string, string>, Failure> {
  return readText(resolve(folder, file)).andThen((text) => {
    const keys = new Map<string, string>()
    for (const line of text.split(/\r?\n/).filter((candidate) => candidate.trim() !== '')) {
      const match = /^([a-z0-9-]+)\s+([0-9a-f]{64})$/.exec(line.trim())
      if (match?.[1] === undefined || match[2] === undefined) {
        return err(failure('settingsInvalid', `${file}: each line must be an operator's name and a SHA-256 digest`))
      }
      keys.set(match[1], match[2])
    }
    return ok(keys)
  })
}

function readText(file: string): Result<string, Failure> {
  try {
    return ok(readFileSync(file, 'utf8'))
  } catch (cause) {
    return err(failure('fileUnreadable', errorMessage(cause)))
  }
}
