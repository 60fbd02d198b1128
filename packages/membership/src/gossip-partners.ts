/**
 * Chooses the nodes that a node of a large fleet exchanges the directory with. With random partners it would open a
 * session to every other node, each of which costs memory on both sides. The partners are stable, most of them are in
 * the node's failure domain, and the choices of all nodes together connect the fleet.
 */
import { rendezvousChoice, type FailureDomain, type NodeId } from '@bilberrystall/base'
import type { Node } from './record'

/** Fleets of up to this many other nodes use all of them. */
const WHOLE_FLEET_NODES = 20
const OWN_DOMAIN_PARTNERS = 5
const OTHER_PARTNERS = 4

export interface GossipPartners {
  readonly ownDomain: readonly Node[]
  readonly others: readonly Node[]
}

/** Returns undefined for a fleet that is small enough to use every node. */
export function chooseGossipPartners(
  nodes: Iterable<Node>,
  self: NodeId,
  domain: FailureDomain,
): GossipPartners | undefined {
  const peers = [...nodes].filter(({ node }) => node !== self)
  if (peers.length <= WHOLE_FLEET_NODES) return undefined
  const choose = (candidates: readonly Node[], count: number) =>
    rendezvousChoice(self, candidates, count, ({ node }) => node)
  return {
    ownDomain: choose(
      peers.filter(({ failureDomain }) => failureDomain === domain),
      OWN_DOMAIN_PARTNERS,
    ),
    others: choose(
      peers.filter(({ failureDomain }) => failureDomain !== domain),
      OTHER_PARTNERS,
    ),
  }
}
