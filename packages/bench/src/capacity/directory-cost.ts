/** Costs of the directory of servers and nodes: memory, CPU of one gossip exchange, and bytes on the wire. */
import { environmentName, failureDomain, nodeId, serverId, serviceName } from '@bilberrystall/base'
import { Directory, type Node, type Server } from '@bilberrystall/membership'
import { encodeDelta, encodeVersion } from '@bilberrystall/node/gossip-codec'
import { ExchangeRequestSchema, ExchangeResponseSchema } from '@bilberrystall/rpc'
import { create, toBinary } from '@bufbuild/protobuf'
import { cpuMicroseconds, retainedBytes } from './probe'
import type { Measurement } from './slope'

const SERVER_SIZES = [50, 200, 600, 1300]
const ENTRY_SIZES = [11, 50, 150, 400]
const START = 1_790_000_000_000

function server(index: number, sequence = 1): Server {
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

function node(index: number): Node {
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

/** Entries that know of each other and of servers spread evenly over them. */
function filled(servers: number, entries: number): Directory[] {
  const all = Array.from(
    { length: entries },
    (_, index) => new Directory({ self: nodeId(`entry-${index}`), incarnation: START, now: 0 }),
  )
  for (const [index, directory] of all.entries()) directory.announceSelf(node(index), 0)
  for (let index = 0; index < servers; index += 1) all[index % entries]?.announce(server(index), 0)
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

function twins(servers: number, entries: number): readonly [Directory, Directory] {
  const [first] = filled(servers, entries)
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
    sizes: SERVER_SIZES,
    measure: (size) => retainedBytes(() => filled(size, 11)[0]),
  },
  {
    name: 'gossip exchange without changes',
    per: 'entries',
    unit: 'bytes',
    sizes: ENTRY_SIZES,
    measure: (size) => exchangeBytes(...twins(600, size), 10),
  },
  {
    name: 'gossip exchange without changes',
    per: 'servers',
    unit: 'bytes',
    sizes: SERVER_SIZES,
    measure: (size) => exchangeBytes(...twins(size, 11), 10),
  },
  {
    name: 'gossip exchange CPU of one side',
    per: 'entries',
    unit: 'µs',
    sizes: ENTRY_SIZES,
    measure: (size) => {
      const [first, second] = twins(600, size)
      return cpuMicroseconds(() => {
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
    sizes: SERVER_SIZES,
    measure: (size) => {
      const [first] = twins(size, 11)
      return cpuMicroseconds(() => first.expire(0))
    },
  },
  {
    name: 'announcement CPU at the origin',
    per: 'servers',
    unit: 'µs',
    sizes: SERVER_SIZES,
    measure: (size) => {
      const [first] = twins(size, 11)
      return cpuMicroseconds((run) => first.announce(server(run % size, run + 2), 0))
    },
  },
]
