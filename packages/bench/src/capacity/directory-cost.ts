/** Costs of the directory of servers and nodes: memory, CPU of a gossip exchange, and bytes on the wire. */
import { environmentName, failureDomain, nodeId, serverId, serviceName } from '@bilberrystall/base'
import { Directory, type Node, type Server } from '@bilberrystall/membership'
import { encodeDelta, encodeVersion } from '@bilberrystall/node/gossip-codec'
import { ExchangeRequestSchema, ExchangeResponseSchema } from '@bilberrystall/rpc'
import { create, toBinary } from '@bufbuild/protobuf'
import { cpuMicrosecondsPerRun, retainedBytes } from './measure-cost'
import type { Measurement } from './slope'

const SERVER_COUNTS = [50, 200, 600, 1300]
const ENTRY_COUNTS = [11, 50, 150, 400]
const START = 1_790_000_000_000

function createServer(index: number, sequence = 1): Server {
  return {
    environment: environmentName('production'),
    service: serviceName(`service-${index % 54}`),
    server: serverId(`server-${index}`),
    start: START + index,
    sequence,
    state: 'ready',
    address: `10.0.${index >> 8}.${index & 255}:9000`,
    failureDomain: failureDomain(`fd-${index % 7}`),
    slots: 3,
    connectionLimit: 280,
  }
}

function createNode(index: number): Node {
  return {
    node: nodeId(`entry-${index}`),
    roles: ['entry'],
    address: `10.1.${index >> 8}.${index & 255}:7100`,
    failureDomain: failureDomain(`fd-${index % 7}`),
    region: `region-${index % 3}`,
    environment: environmentName('production'),
    state: 'serving',
    disk: '',
    documents: [],
    ejected: [],
  }
}

/** Creates directories of entries that announce the servers in turn. The first directory knows all records. */
function createDirectories(servers: number, entries: number): Directory[] {
  const all = Array.from(
    { length: entries },
    (_, index) => new Directory({ self: nodeId(`entry-${index}`), incarnation: START, now: 0 }),
  )
  for (const [index, directory] of all.entries()) directory.announceSelf(createNode(index), 0)
  for (let index = 0; index < servers; index += 1) all[index % entries]?.announce(createServer(index), 0)
  const [first] = all
  for (const other of all.slice(1)) {
    first?.merge(other.versions(0), other.deltasFor([], 0), 0)
  }
  return all
}

function exchangeBytes(from: Directory, to: Directory, now: number): number {
  const sent = from.versions(now)
  const deltas = to.deltasFor(sent, now)
  const request = create(ExchangeRequestSchema, { from: 'entry-0', versions: sent.map(encodeVersion) })
  const response = create(ExchangeResponseSchema, {
    versions: to.versions(now).map(encodeVersion),
    deltas: deltas.map(encodeDelta),
  })
  return toBinary(ExchangeRequestSchema, request).length + toBinary(ExchangeResponseSchema, response).length
}

function createSynchronizedPair(servers: number, entries: number): readonly [Directory, Directory] {
  const [first] = createDirectories(servers, entries)
  const second = new Directory({ self: nodeId('entry-x'), incarnation: START, now: 0 })
  if (first === undefined) throw new Error('at least one entry is needed')
  second.merge(first.versions(0), first.deltasFor([], 0), 0)
  first.merge(second.versions(0), second.deltasFor(first.versions(0), 0), 0)
  return [first, second]
}

export const directoryMeasurements: readonly Measurement[] = [
  {
    name: 'directory memory',
    per: 'servers',
    unit: 'bytes',
    sizes: SERVER_COUNTS,
    measure: (size) => retainedBytes(() => createDirectories(size, 11)[0]),
  },
  {
    name: 'gossip exchange without changes',
    per: 'entries',
    unit: 'bytes',
    sizes: ENTRY_COUNTS,
    measure: (size) => exchangeBytes(...createSynchronizedPair(600, size), 10),
  },
  {
    name: 'gossip exchange without changes',
    per: 'servers',
    unit: 'bytes',
    sizes: SERVER_COUNTS,
    measure: (size) => exchangeBytes(...createSynchronizedPair(size, 11), 10),
  },
  {
    name: 'gossip exchange CPU of one side',
    per: 'entries',
    unit: 'µs',
    sizes: ENTRY_COUNTS,
    measure: (size) => {
      const [first, second] = createSynchronizedPair(600, size)
      return cpuMicrosecondsPerRun(() => {
        const versions = second.versions(0)
        first.merge(versions, first.deltasFor(versions, 0), 0)
        exchangeBytes(first, second, 0)
      })
    },
  },
  {
    name: 'lease expiry sweep CPU',
    per: 'servers',
    unit: 'µs',
    sizes: SERVER_COUNTS,
    measure: (size) => {
      const [first] = createSynchronizedPair(size, 11)
      return cpuMicrosecondsPerRun(() => first.expire(0))
    },
  },
  {
    name: 'announcement CPU at the origin',
    per: 'servers',
    unit: 'µs',
    sizes: SERVER_COUNTS,
    measure: (size) => {
      const [first] = createSynchronizedPair(size, 11)
      return cpuMicrosecondsPerRun((run) => first.announce(createServer(run % size, run + 2), 0))
    },
  },
]
