/** Guards against a cold time that is lost between the announcement of a server and the router of another node. */
import { environmentName, failureDomain, nodeId } from '@bilberrystall/base'
import { Directory, type Server } from '@bilberrystall/membership'
import { OriginDeltaSchema } from '@bilberrystall/rpc'
import { fromBinary, toBinary } from '@bufbuild/protobuf'
import { expect, test } from 'vitest'
import { parseAnnouncement } from '../src/announcement'
import { EntryList } from '../src/entry-list'
import { decodeDelta, encodeDelta } from '../src/gossip-codec'

const ANNOUNCEMENT = {
  environment: 'production',
  service: 'booking',
  server: 's1',
  start: 1,
  sequence: 1,
  state: 'ready',
  address: '127.0.0.1:9000',
  failureDomain: 'fd-a',
  slots: 3,
  connectionLimit: 260,
}

function transferred(server: Server): Server | undefined {
  const version = { origin: nodeId('e1'), incarnation: 1, counter: 1, ageMs: 0 }
  const delta = { version, servers: [{ value: server, counter: 1 }], node: undefined, removed: [], full: true }
  const bytes = toBinary(OriginDeltaSchema, encodeDelta(delta))
  return decodeDelta(fromBinary(OriginDeltaSchema, bytes))?.servers[0]?.value
}

test.each([
  [undefined, undefined],
  [0, undefined],
  [1, 1],
  [12_000, 12_000],
  [1e12, 4_294_967_295],
])('an announced cold time of %o ms reaches other nodes as %o', (announced, received) => {
  const server = parseAnnouncement({ ...ANNOUNCEMENT, warmUpMs: announced })._unsafeUnwrap().server
  expect(transferred(server)?.warmUpMs).toBe(received)
})

test('the entries that may send include those that are lost, but not other nodes and those that left', () => {
  const environment = environmentName('production')
  const directory = new Directory({ self: nodeId('e1'), incarnation: 1, now: 0 })
  let now = 0
  const list = new EntryList({ self: nodeId('e1'), directory, now: () => now }, environment)
  const record = { address: '127.0.0.1:1', failureDomain: failureDomain('fd-a'), region: 'r', environment, disk: '' }
  const lists = { documents: [], ejected: [] }
  const node = (id: string, state: 'serving' | 'leaving', role: 'entry' | 'control') =>
    ({ ...record, ...lists, node: nodeId(id), state, roles: [role] }) as const
  for (const id of ['e2', 'e3']) list.nodeChanged({ kind: 'node-changed', node: node(id, 'serving', 'entry') })
  list.nodeChanged({ kind: 'node-changed', node: node('c1', 'serving', 'control') })
  list.nodeChanged({ kind: 'node-lost', node: node('e2', 'serving', 'entry') })
  list.nodeChanged({ kind: 'node-lost', node: node('e3', 'leaving', 'entry') })
  now = 10_000
  expect(list.known()).toEqual(['e1', 'e2'])
})
