/** Nodes and servers of the soak runs. */
import type { Cluster, FakeServerProcess, NodeOptions } from '../cluster'

export type FleetSize = 'small' | 'large'

const ENVIRONMENT = 'production'
const DOMAIN_COUNT = 3
/** Entries with a replica and all entries of the large fleet. */
const LARGE_CONTROLS = 4
const LARGE_ENTRIES = 11
/** Number of fake servers of each service. */
const SERVER_COUNTS = { calendar: 3, booking: 3 } as const

export function fleet(size: FleetSize): readonly NodeOptions[] {
  switch (size) {
    case 'small':
      return [
        ...[1, 2, 3].map((number) => ({ ...control(number), name: `control-${number}` })),
        ...[1, 2, 3].map((number) => entry(number)),
      ]
    case 'large':
      return Array.from({ length: LARGE_ENTRIES }, (_, index): NodeOptions => {
        const number = index + 1
        return number > LARGE_CONTROLS
          ? entry(number)
          : { ...entry(number), bootstrap: number === 1, roles: 'entry, control' }
      })
  }
}

/** The seed decides which requests the servers refuse and fail and which responses they copy, once they do so. */
export async function startServers(cluster: Cluster, seed: number): Promise<readonly FakeServerProcess[]> {
  const identities = Object.entries(SERVER_COUNTS).flatMap(([service, count]) =>
    Array.from({ length: count }, (_, index) => ({ service, server: `${service}-${index + 1}` })),
  )
  const servers = await Promise.all(
    identities.map((identity, index) =>
      cluster.startFakeServer({ ...identity, seed: seed * identities.length + index }),
    ),
  )
  await cluster.waitUntilServersKnown(servers.length)
  return servers
}

function control(number: number): Omit<NodeOptions, 'name'> {
  return { roles: 'control', failureDomain: domain(number), bootstrap: number === 1 }
}

function entry(number: number): NodeOptions {
  const identity = { name: `entry-${number}`, environment: ENVIRONMENT, failureDomain: domain(number) }
  return { ...identity, roles: 'entry', balancerGrace: '1s', stopLimit: '3s' }
}

function domain(number: number): string {
  return `fd-${1 + ((number - 1) % DOMAIN_COUNT)}`
}
