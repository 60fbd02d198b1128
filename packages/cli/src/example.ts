/** Example files for a single process with both roles and one replica that listens on loopback only. */
import { createHash, randomBytes } from 'node:crypto'

const KEY_BYTES = 24

export interface ExampleOptions {
  readonly node?: string
  readonly roles?: 'entry' | 'control' | 'entry, control'
  readonly environment?: string
  readonly callers?: string
  /** Address to listen on for calls of other entries that reach no server. */
  readonly relayListen?: string
  readonly address?: string
  /** Address to listen on for other nodes if it differs from the advertised address. */
  readonly rpcListen?: string
  readonly status?: string
  readonly operators?: string
  readonly seeds?: readonly string[]
  readonly failureDomain?: string
  readonly bootstrap?: boolean
  /** Time after which a replica without contact is replaced. */
  readonly lostAfter?: string
  readonly balancerGrace?: string
}

export function exampleSettings(options: ExampleOptions = {}): string {
  const { roles = 'entry, control' } = options
  const parts = [nodeSection(options)]
  if (roles.includes('entry')) parts.push(entrySection(options))
  if (roles.includes('control')) parts.push(controlSection(options))
  return parts.join('\n')
}

function nodeSection(options: ExampleOptions): string {
  const { node = 'first', roles = 'entry, control', seeds = [], failureDomain = 'fd-1' } = options
  return `[node]
name = ${node}
; entry serves callers, control keeps the documents on its disk
roles = ${roles}
; for the other nodes
address = ${options.address ?? '127.0.0.1:8001'}
${options.rpcListen === undefined ? '' : `rpc-listen = ${options.rpcListen}\n`}; announcements of servers, health page and metrics
status-listen = ${options.status ?? '127.0.0.1:8002'}
failure-domain = ${failureDomain}
; addresses of nodes to join
seeds = ${seeds.join(', ')}
node-key-file = node.key
`
}

function entrySection(options: ExampleOptions): string {
  return `[entry]
environment = ${options.environment ?? 'trial'}
; for callers
listen = ${options.callers ?? '127.0.0.1:8000'}
${options.relayListen === undefined ? '' : `relay-listen = ${options.relayListen}\n`}server-key-file = server.key
; how long the health page says leaving before connections are refused
balancer-grace = ${options.balancerGrace ?? '3s'}
stop-limit = 30s
`
}

function controlSection(options: ExampleOptions): string {
  return `[control]
; for operators
listen = ${options.operators ?? '127.0.0.1:8003'}
data-folder = data-${options.node ?? 'first'}
; one line for each operator: name and SHA-256 of the key
operator-keys-file = operator.keys
; start a new cluster when the data folder is empty; only on the first node
bootstrap = ${(options.bootstrap ?? true) ? 'yes' : 'no'}
${options.lostAfter === undefined ? '' : `lost-after = ${options.lostAfter}\n`}`
}

export interface ExampleKeys {
  readonly node: string
  readonly server: string
  readonly operator: string
}

export function generateKeys(): ExampleKeys {
  const key = (): string => randomBytes(KEY_BYTES).toString('base64url')
  return { node: key(), server: key(), operator: key() }
}

/** Content of the operator keys file, which has names and digests but never the keys. */
export function formatOperatorKeys(keys: Readonly<Record<string, string>>): string {
  const lines = Object.entries(keys).map(([name, key]) => `${name} ${createHash('sha256').update(key).digest('hex')}\n`)
  return lines.join('')
}

export const EXAMPLE_DOCUMENT = `; Services of an environment and how their calls are treated.
[document]
title = Bookings of fitters
; how long a resent request is recognised by its idempotency key
key-retention = 1h

[service.calendar]
; share of slot time that probes may take
measuring-budget = 0.5%

[service.booking]
measuring-budget = 0.5%

[route.free-slots]
service = calendar
path = /slots
methods = GET
; the request may run more than once
repeatable = yes
deadline = 2s

[route.book-visit]
service = booking
path = /visits
methods = POST
; the request must run at most once
repeatable = no
key = required
deadline = 5s

[route.route-sheets]
service = calendar
path = /route-sheets
methods = GET
repeatable = yes
; waits while urgent calls need the slots
urgency = deferrable
deadline = 30s
`
