/**
 * Demonstration with a control replica, entries and fake servers as separate processes. A document is submitted to
 * trial and promoted to production, then calls of both workloads are sent through two entries. Prints each step, stops
 * all processes and exits with 0, or with 1 if a check failed.
 */
import {
  Cluster,
  Harness,
  KEY_AHEAD_MS,
  KEYED_WRITES,
  READS,
  SERVICES,
  photoDownload,
  runLoad,
  sendCall,
  uuidV7,
  workloadDocument,
  type Call,
  type CallResult,
  type FakeServerProcess,
} from '@bilberrystall/testkit'
import { existsSync } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'

const BINARY = 'dist/bilberrystall'
const SERVERS_PER_SERVICE = 2
const PHOTO_BYTES = 24 * 1024 * 1024
const LOAD_MS = 2000
const CALLS_PER_SECOND = 200

let failures = 0

function print(text: string): void {
  process.stdout.write(`${text}\n`)
}

function check(what: string, holds: boolean): void {
  if (!holds) failures += 1
  print(`  ${holds ? 'ok  ' : 'FAIL'} ${what}`)
}

async function startNodes(harness: Harness): Promise<Cluster> {
  const cluster = await Cluster.create(harness)
  await cluster.add(
    { name: 'control-1', roles: 'control', bootstrap: true, failureDomain: 'fd-1' },
    { name: 'entry-1', roles: 'entry', environment: 'production', failureDomain: 'fd-1' },
    { name: 'entry-2', roles: 'entry', environment: 'production', failureDomain: 'fd-2' },
    { name: 'entry-trial', roles: 'entry', environment: 'trial', failureDomain: 'fd-1' },
  )
  await cluster.startAll()
  await cluster.waitUntilAllJoined()
  for (const node of cluster.nodes) {
    print(
      `  ${node.name}: process ${node.runningProcess.pid}, ${node.options.roles} (${node.options.environment ?? 'all environments'})`,
    )
  }
  return cluster
}

function startServers(cluster: Cluster): Promise<FakeServerProcess[]> {
  const servers = SERVICES.flatMap((service) =>
    Array.from({ length: SERVERS_PER_SERVICE }, (_, index) =>
      cluster.startFakeServer({
        service,
        server: `${service}-${index + 1}`,
        failureDomain: `fd-${index + 1}`,
        behaviour: { serviceTime: { kind: 'lognormal', medianMs: 3, sigma: 0.5 } },
      }),
    ),
  )
  return Promise.all(servers)
}

async function runOperatorCommand(cluster: Cluster, ...args: string[]): Promise<void> {
  const result = await cluster.runCommand(args)
  print(`  $ bilberrystall ${args.join(' ')}`)
  for (const line of `${result.stdout}${result.stderr}`.trimEnd().split('\n')) print(`    ${line}`)
  check('exit status 0', result.status === 0)
}

async function promoteDocument(cluster: Cluster): Promise<void> {
  const file = 'document.ini'
  await writeFile(join(cluster.harness.folder, file), workloadDocument())
  await runOperatorCommand(cluster, 'document', 'check', file)
  await runOperatorCommand(cluster, 'document', 'submit', file, '--environment', 'trial')
  await runOperatorCommand(cluster, 'document', 'status', '--environment', 'trial', '--wait', '11s')
  await runOperatorCommand(cluster, 'document', 'promote', '--environment', 'production')
  await runOperatorCommand(cluster, 'document', 'status', '--environment', 'production', '--wait', '11s')
}

function checkCall(call: Call, entry: string, result: CallResult): void {
  const what = `${call.method} ${call.host ?? ''}${call.path} through ${entry}`
  check(
    `${what}: ${result.outcome} ${result.status}${result.server === '' ? '' : ` from ${result.server}`}`,
    result.outcome === 'complete',
  )
}

async function sendCalls(cluster: Cluster, servers: readonly FakeServerProcess[]): Promise<void> {
  const entries = ['entry-1', 'entry-2'].map((name) => cluster.node(name))
  for (const entry of entries) {
    for (const call of READS) checkCall(call, entry.name, await sendCall(entry.addresses.callers, call))
    for (const write of KEYED_WRITES) {
      const call = { ...write, idempotencyKey: uuidV7(Date.now() + KEY_AHEAD_MS) }
      checkCall(call, entry.name, await sendCall(entry.addresses.callers, call))
    }
    const photo = photoDownload(PHOTO_BYTES)
    checkCall(photo, entry.name, await sendCall(entry.addresses.callers, photo))
  }
  await checkIdempotency(
    entries.map((entry) => entry.addresses.callers),
    servers,
  )
  await checkLoad(entries.map((entry) => entry.addresses.callers))
}

/** Sends the same booking through both entries and checks that it is executed once. */
async function checkIdempotency(entries: readonly string[], servers: readonly FakeServerProcess[]): Promise<void> {
  const idempotencyKey = uuidV7(Date.now() + KEY_AHEAD_MS)
  const call: Call = { ...(KEYED_WRITES[2] ?? { method: 'POST', path: '/' }), idempotencyKey }
  const results: CallResult[] = []
  for (const entry of entries) results.push(await sendCall(entry, call))
  const records = await Promise.all(servers.map((server) => server.record()))
  const runs = records.reduce((sum, record) => sum + (record.byKey[idempotencyKey] ?? 0), 0)
  check(
    `one booking sent through both entries: ${results.map((result) => result.status).join(', ')}; executed ${runs} time(s)`,
    runs === 1,
  )
}

async function checkLoad(entries: readonly string[]): Promise<void> {
  const pace = { kind: 'open', callsPerSecond: CALLS_PER_SECOND } as const
  const summary = await runLoad({ entries, pace, durationMs: LOAD_MS, calls: READS, seed: 1 })
  const { sent, outcomes, latencyMs } = summary
  check(
    `load of ${sent} reads: ${outcomes.complete} complete, p99 ${latencyMs.p99.toFixed(1)} ms`,
    outcomes.complete === sent,
  )
}

async function stopNodes(cluster: Cluster): Promise<void> {
  for (const node of [...cluster.entries, ...cluster.controls]) {
    node.runningProcess.signal('SIGTERM')
    check(`${node.name} stopped with exit status 0`, (await node.runningProcess.waitForExit()) === 0)
  }
}

async function runDemo(harness: Harness): Promise<void> {
  print('Start one control replica, two entries for production and one for trial:')
  const cluster = await startNodes(harness)
  print(`Start ${SERVICES.length * SERVERS_PER_SERVICE} fake servers that announce themselves:`)
  const entries = ['entry-1', 'entry-2'].map((name) => cluster.node(name))
  const servers = await startServers(cluster)
  print('Try the document in trial, then promote the same bytes to production:')
  await promoteDocument(cluster)
  for (const entry of entries) await entry.waitUntilHealthy()
  await cluster.waitUntilServersKnown(servers.length)
  await cluster.waitUntilKeysReady(cluster.entries.length)
  print('Calls of both workloads:')
  await sendCalls(cluster, servers)
  print('Planned stop:')
  await stopNodes(cluster)
}

if (existsSync(BINARY)) process.env.BILBERRYSTALL_BINARY ??= BINARY
const harness = await Harness.create()
try {
  await runDemo(harness)
} catch (cause) {
  failures += 1
  print(String(cause))
} finally {
  await harness.end()
}
print(failures === 0 ? 'Done: all checks passed.' : `Done: ${failures} checks failed.`)
process.exitCode = failures === 0 ? 0 : 1
