/**
 * Chooses the node that a server announces itself to. A server that announces itself to another node each time would
 * have a record at every node, and each announcement would be a change that all nodes exchange. It keeps its node as
 * long as that serves in the failure domain of the server, and otherwise moves to one that does.
 */
import { rendezvousChoice, type FailureDomain, type NodeId, type ServerId } from '@bilberrystall/base'
import type { Node } from './record'

export interface AnnouncementNodeQuery {
  readonly server: ServerId
  readonly failureDomain: FailureDomain
  /** Node that received the announcement. */
  readonly receiver: NodeId
}

/** Returns the node for later announcements; undefined if the server has to choose one itself. */
export function chooseAnnouncementNode(nodes: Iterable<Node>, query: AnnouncementNodeQuery): Node | undefined {
  const { server, failureDomain, receiver } = query
  const candidates: Node[] = []
  let own: Node | undefined
  for (const node of nodes) {
    if (node.state !== 'serving' || !node.roles.includes('entry')) continue
    if (node.node === receiver) own = node
    if (node.failureDomain === failureDomain) candidates.push(node)
  }
  if (own?.failureDomain === failureDomain) return own
  const [chosen] = rendezvousChoice(server, candidates, 1, ({ node }) => node)
  return chosen ?? own
}
