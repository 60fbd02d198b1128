/** Entry process of the overhead benchmark. Argument: the port of the server. */
import { failureDomain, nodeId, seededRandom, serverId, serviceName } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { Entry } from '@bilberrystall/entry'
import { Router } from '@bilberrystall/routing'

const DOCUMENT = `
[document]
title = overhead
[service.calendar]
[route.slots]
service = calendar
path = /slots
methods = GET, POST
repeatable = yes
deadline = 10s
[route.hop]
service = calendar
path = /hop/
repeatable = yes
deadline = 10s
`

/** Calls that warm up the optimizing compiler and are not measured. */
const WARM_UP_CALLS = 10_000
let calls = 0
let usageAfterWarmUp = process.cpuUsage()
function countCall(): void {
  calls += 1
  if (calls === WARM_UP_CALLS) usageAfterWarmUp = process.cpuUsage()
}

const document = parseDocument(DOCUMENT)._unsafeUnwrap()
const entry = new Entry({
  host: '127.0.0.1',
  port: 0,
  node: nodeId('entry-1'),
  nodeKey: 'node key',
  router: new Router({ random: seededRandom(1) }),
  random: seededRandom(2),
  document: () => document,
  liveEntries: () => 1,
  events: { callEnded: countCall },
})
entry.updateServer({
  id: serverId('calendar-1'),
  service: serviceName('calendar'),
  domain: failureDomain('domain-1'),
  slots: 64,
  state: 'ready',
  firstSeen: 0,
  instance: 'calendar-1',
  start: 1,
  address: { host: '127.0.0.1', port: Number(process.argv[2]) },
  connectionLimit: 256,
})
;(await entry.start())._unsafeUnwrap()
process.stdout.write(`${entry.port}\n`)
process.on('SIGTERM', () => {
  const { user, system } = process.cpuUsage(usageAfterWarmUp)
  const perCall = (time: number) => (time / (calls - WARM_UP_CALLS)).toFixed(1)
  process.stderr.write(
    `CPU of the entry per call: user ${perCall(user)} µs, system ${perCall(system)} µs, ${calls} calls\n`,
  )
  // Node.js writes a CPU profile only if the process exits normally.
  process.exit(0)
})
