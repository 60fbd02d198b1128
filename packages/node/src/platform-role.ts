/** Integration of a node with a platform: gateway and listeners of the adapter, and the cluster bootstrap. */
import { type FailureDomain, type Failure, type NodeId, environmentName } from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import type { Directory, Server } from '@bilberrystall/membership'
import { err, ok, type Result } from 'neverthrow'
import type { Adapter, Gateway } from './adapter'
import { controlNodesOf, type Control } from './control'
import { Changes, NO_REPLICA } from './control-changes'
import type { Departed } from './control-follow'
import { Founding } from './founding'
import type { Frame } from './frame'
import { NodeGateway } from './gateway'
import { listen, type Listener } from './listener'
import type { Health } from './status-listener'

/** Platforms wait one second for a response; a later response is wasted work. */
const GATEWAY_LIMIT_MS = 950
const GATEWAY_ATTEMPT_MS = 600

export interface PlatformRoleOptions {
  readonly frame: Frame
  /** Undefined on nodes without a replica. */
  readonly control: Control | undefined
  readonly health: () => Health
  readonly announced: (server: Server) => Result<void, Failure>
  readonly departed: (departed: readonly Departed[]) => void
}

/** Opens the adapter's listeners. Errors: `address-in-use`. */
export async function listenForPlatform(
  adapter: Adapter,
  options: PlatformRoleOptions,
): Promise<Result<readonly Listener[], Failure>> {
  const opened: Listener[] = []
  for (const { address, app } of adapter.listeners(gatewayOf(options))) {
    const listening = await listen(app, address)
    if (listening.isErr()) {
      for (const listener of opened) await listener.close()
      return err(listening.error)
    }
    opened.push(listening.value)
  }
  return ok(opened)
}

function gatewayOf({ frame, control, health, announced, departed }: PlatformRoleOptions): Gateway {
  const { directory, clients, self, settings } = frame
  const controlNodes = () => nearestFirst(controlNodesOf(directory), directory, self, settings.failureDomain)
  const forwarding = () =>
    new Changes({
      host: NO_REPLICA,
      node: self,
      clients,
      addressOf: (node) => directory.nodes.get(node)?.address,
      controlNodes,
      checkDocument: parseDocument,
      wallClock: frame.unix,
      limitMs: GATEWAY_LIMIT_MS,
      attemptLimitMs: GATEWAY_ATTEMPT_MS,
    })
  return new NodeGateway({
    environment: settings.entry?.environment ?? environmentName(''),
    directory,
    changes: control?.changes ?? forwarding(),
    clients,
    controlNodes,
    health,
    announced,
    departed: (server, start) => {
      departed([{ server, start }])
    },
  })
}

/** Returns the bootstrap of a first start; undefined on every later start. */
export function foundingOf(frame: Frame, control: Control | undefined): Founding | undefined {
  const { address, seeds, firstStart } = frame.settings
  if (!firstStart) return undefined
  return new Founding({
    self: frame.self,
    address,
    seeds,
    replica: control?.replica,
    nodes: () => frame.directory.nodes.values(),
    choose: (founder) => {
      frame.announce({ founder })
    },
    found: () => control?.host.found(),
  })
}

/** Sorts this node first, then nodes of its failure domain, then the others. */
function nearestFirst(
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
