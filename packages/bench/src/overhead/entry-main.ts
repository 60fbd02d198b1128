/** Entry process of the overhead measurement; the only argument is the port of the server. */
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

/** Calls before this one are the warm-up of the optimising compiler. */
const WARM_CALLS = 10_000
let calls = 0
let warm = process.cpuUsage()
function count(): void {
  calls += 1
  if (calls === WARM_CALLS) warm = process.cpuUsage()
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
  events: { ended: count },
})
entry.updateServer({
  id: serverId('calendar-1'),
  service: serviceName('calendar'),
  domain: failureDomain('domain-1'),
  slots: 64,
  state: 'ready',
  firstSeen: 0,
  instance: 'calendar-1',
  address: { host: '127.0.0.1', port: Number(process.argv[2]) },
  connectionLimit: 256,
})
;(await entry.start())._unsafeUnwrap()
process.stdout.write(`${entry.port}\n`)
process.on('SIGTERM', () => {
  const { user, system } = process.cpuUsage(warm)
  const part = (time: number) => (time / (calls - WARM_CALLS)).toFixed(1)
  process.stderr.write(`CPU of the entry per call: user ${part(user)} µs, system ${part(system)} µs, ${calls} calls\n`)
  // An ordinary exit lets a CPU profile be written.
  process.exit(0)
})
