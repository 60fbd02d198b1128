/** Integration of a node with a platform: gateway and listeners of the adapter, and the cluster bootstrap. */
import { type FailureDomain, type Failure, type NodeId, environmentName } from '@bilberrystall/base'
import { checkDocument } from '@bilberrystall/document'
import type { Directory, Server } from '@bilberrystall/membership'
import { err, ok, type Result } from 'neverthrow'
import type { Adapter, Gateway } from './adapter'
import type { ControlRole } from './control-role'
import { logSettled } from './change-log'
import { NON_LEADER_HOST } from './change-proposals'
import { ChangeSubmitter } from './change-submitter'
import type { DepartedServer } from './control-follower'
import { ClusterBootstrap } from './cluster-bootstrap'
import type { NodeContext } from './node-context'
import { NodeGateway } from './gateway'
import { listen, type Listener } from './listener'
import type { Health } from './status-listener'

export interface PlatformRoleOptions {
  readonly context: NodeContext
  /** Returns undefined while the node has no replica. */
  readonly control: () => ControlRole | undefined
  readonly health: () => Health
  readonly onAnnounced: (server: Server) => Result<void, Failure>
  readonly onDeparted: (departed: readonly DepartedServer[]) => void
}

/** Opens the adapter's listeners. Errors: `address-in-use`. */
export async function openPlatformListeners(
  adapter: Adapter,
  gateway: Gateway,
): Promise<Result<readonly Listener[], Failure>> {
  const opened: Listener[] = []
  for (const { address, app } of adapter.listeners(gateway)) {
    const listening = await listen(app, address)
    if (listening.isErr()) {
      for (const listener of opened) await listener.close()
      return err(listening.error)
    }
    opened.push(listening.value)
  }
  return ok(opened)
}

export function createGateway({ context, control, health, onAnnounced, onDeparted }: PlatformRoleOptions): Gateway {
  const { directory, contacts, leaders, clients, self, settings } = context
  const controlNodes = () => {
    const nodes = contacts.candidates().map(({ node }) => node)
    return sortByDistance([...new Set(nodes)], directory, self, settings.failureDomain)
  }
  const addressOf = (node: NodeId) => contacts.addressOf(node)
  const forwardingSubmitter = new ChangeSubmitter({
    host: NON_LEADER_HOST,
    node: self,
    clients,
    addressOf,
    controlNodes,
    onLeaderNamed: (leader) => {
      contacts.learn([leader])
    },
    checkDocument,
    wallClock: context.wallClock,
    leaders,
    onSettled: (report) => {
      logSettled(context.log, report)
    },
  })
  return new NodeGateway({
    self,
    environment: settings.entry?.environment ?? environmentName(''),
    directory,
    now: context.now,
    changes: () => control()?.changes ?? forwardingSubmitter,
    clients,
    controlNodes,
    addressOf,
    health,
    onAnnounced,
    onDeparted: (server, start) => {
      onDeparted([{ server, start }])
    },
  })
}

/** Returns the bootstrap of a first start; undefined on every later start. */
export function createClusterBootstrap(
  context: NodeContext,
  control: () => ControlRole | undefined,
): ClusterBootstrap | undefined {
  const { address, seeds, firstStart } = context.settings
  if (!firstStart) return undefined
  return new ClusterBootstrap({
    self: context.self,
    address,
    seeds,
    replica: () => control()?.replica,
    nodes: () => context.directory.nodes.values(),
    publishVote: (founder) => {
      context.announce({ founder })
    },
    bootstrapCluster: () => control()?.bootstrapCluster(),
  })
}

/** Sorts this node first, then nodes of its failure domain, then the others. */
function sortByDistance(
  nodes: readonly NodeId[],
  directory: Directory,
  self: NodeId,
  domain: FailureDomain,
): readonly NodeId[] {
  const distance = (node: NodeId) => {
    if (node === self) return 0
    return directory.nodes.get(node)?.failureDomain === domain ? 1 : 2
  }
  return nodes.toSorted((left, right) => distance(left) - distance(right))
}
