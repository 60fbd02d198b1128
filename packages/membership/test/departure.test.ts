import { environmentName, failureDomain, nodeId, serverId, serviceName } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { Directory, slowLeaseTimes, type Server } from '../src/index'

const RENEWAL_MS = 1500

function server(start: number, sequence: number, rest: Partial<Server> = {}): Server {
  return {
    environment: environmentName('production'),
    service: serviceName('booking'),
    server: serverId('s1'),
    start,
    sequence,
    state: 'ready',
    address: '127.0.0.1:9000',
    failureDomain: failureDomain('fd-a'),
    slots: 3,
    connectionLimit: 260,
    ...rest,
  }
}

function directory(): Directory {
  return new Directory({ self: nodeId('e0'), incarnation: 1, now: 0, leases: slowLeaseTimes(RENEWAL_MS) })
}

const state = (view: Directory) => [...view.servers.values()].map((known) => known.state).join()

test('a departed server stays draining whatever it announces later', () => {
  const view = directory()
  view.announce(server(10, 1), 0)
  expect(view.depart(serverId('s1'), 10)).toMatchObject([{ kind: 'server-changed', server: { state: 'draining' } }])
  view.announce(server(10, 2), 100)
  expect(state(view)).toBe('draining')
})

test('a departure that arrives before the announcement applies to it', () => {
  const view = directory()
  view.depart(serverId('s1'), 10)
  view.announce(server(10, 1), 100)
  expect(state(view)).toBe('draining')
})

test('a later start of the same server is used', () => {
  const view = directory()
  view.announce(server(10, 50), 0)
  view.depart(serverId('s1'), 10)
  view.announce(server(20, 1), 100)
  expect(state(view)).toBe('ready')
  expect(view.depart(serverId('s1'), 10)).toEqual([])
  expect(state(view)).toBe('ready')
})

test('a renewal of a departed server reports no change', () => {
  const view = directory()
  view.announce(server(10, 1), 0)
  view.depart(serverId('s1'), 10)
  expect(view.announce(server(10, 2), 100)._unsafeUnwrap()).toEqual([])
})

test('a server stays in use after a few missed renewals but not after eight', () => {
  const view = directory()
  view.announce(server(10, 1), 0)
  view.expire(5 * RENEWAL_MS)
  expect(state(view)).toBe('ready')
  view.expire(9 * RENEWAL_MS)
  expect(state(view)).toBe('')
})
