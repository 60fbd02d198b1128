/** Guards against nodes that miss that a server is cold, and against a gossiped record for each announcement of it. */
import { environmentName, failureDomain, nodeId, serverId, serviceName } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { Directory, isValidServer, type DirectoryChange, type Server } from '../src/index'

function server(sequence: number, warmUpMs?: number): Server {
  const identity = { service: serviceName('booking'), server: serverId('s1'), start: 1, sequence }
  const limits = { slots: 3, connectionLimit: 260, ...(warmUpMs === undefined ? {} : { warmUpMs }) }
  const place = { environment: environmentName('production'), failureDomain: failureDomain('fd-a') }
  return { ...identity, ...place, state: 'ready', address: '127.0.0.1:9000', ...limits }
}

/** Announces each cold time after its time in ms, and returns the cold times that another node learns. */
function learned(announcements: readonly (readonly [number, number | undefined])[]): readonly (number | undefined)[] {
  const origin = new Directory({ self: nodeId('e1'), incarnation: 1, now: 0 })
  const other = new Directory({ self: nodeId('e2'), incarnation: 1, now: 0 })
  const changes: DirectoryChange[] = []
  for (const [index, [at, warmUpMs]] of announcements.entries()) {
    origin.announce(server(index, warmUpMs), at)._unsafeUnwrap()
    changes.push(...other.merge(origin.versions(at), origin.deltasFor(other.versions(at), at), at))
  }
  return changes.flatMap((change) => (change.kind === 'server-changed' ? [change.server.warmUpMs] : []))
}

test('announcements that count a cold time down are passed on once, and the end of it once more', () => {
  const announcements = [
    [0, 6000],
    [1500, 4500],
    [3000, 3020],
    [4500, 1480],
    [6000, undefined],
    [7500, undefined],
  ] as const
  expect(learned(announcements)).toEqual([6000, undefined])
})

test('a cold time that becomes longer or ends early, and a server that turns cold again, are passed on at once', () => {
  const announcements = [
    [0, undefined],
    [1500, 6000],
    [3000, 5500],
    [4500, 500],
    [6000, undefined],
    [7500, 6000],
  ] as const
  expect(learned(announcements)).toEqual([undefined, 6000, 5500, 500, undefined, 6000])
})

test('a record with a cold time that is not a whole number of ms is not used', () => {
  expect([0, 1, 1.5, -1, Number.NaN].map((warmUpMs) => isValidServer(server(1, warmUpMs)))).toEqual([
    true,
    true,
    false,
    false,
    false,
  ])
})
