/**
 * Notification of the entries of a large fleet by way of one another. The leader divides the entries of a failure domain
 * into groups and notifies one entry of each, which notifies the others of its group. So neither sends more messages
 * for a change than about the square root of the number of entries, where the leader alone would send one to each.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { nodeId, type NodeId } from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'
import { DeliveryService, type MemberPosition, type NotifyRequest, type RpcClients } from '@bilberrystall/rpc'

/** Fleets up to this number of entries are notified by the leader alone. */
const MAX_DIRECT_ENTRIES = 24
/** Time after which a relay responds without the members that have not, so that the leader notifies these itself. */
const MEMBER_LIMIT_MS = 300
/** Timeout of the leader for a relay. */
export const RELAY_TIMEOUT_MS = 500

/** Entries of the same environment and failure domain. */
export type NotificationGroup = readonly Node[]

/** Divides the entries into groups of about the same size, the same ones for each change while the fleet is the same. */
export function notificationGroups(entries: readonly Node[]): readonly NotificationGroup[] {
  if (entries.length <= MAX_DIRECT_ENTRIES) return entries.map((entry) => [entry])
  const byPlace = new Map<string, Node[]>()
  for (const entry of entries.toSorted(compareByNode)) {
    const place = `${entry.environment} ${entry.failureDomain}`
    const others = byPlace.get(place) ?? []
    others.push(entry)
    byPlace.set(place, others)
  }
  const largestGroup = Math.ceil(Math.sqrt(entries.length))
  return [...byPlace.values()].flatMap((members) => divide(members, Math.ceil(members.length / largestGroup)))
}

function divide(members: readonly Node[], count: number): NotificationGroup[] {
  const bound = (group: number) => Math.floor((group * members.length) / count)
  return Array.from({ length: count }, (_, group) => members.slice(bound(group), bound(group + 1)))
}

function compareByNode(left: Node, right: Node): number {
  return left.node < right.node ? -1 : left.node > right.node ? 1 : 0
}

export type RelayedNotification = Omit<NotifyRequest, '$typeName' | '$unknown'>

/** Notifies the members, and returns what those have that respond in time. */
export async function relayNotification(request: RelayedNotification, clients: RpcClients): Promise<MemberPosition[]> {
  // A received message without a part of its fields is no request.
  const { environment, revision, departurePosition, document, departures, departuresAfter } = request
  const { evacuated, evacuationPosition } = request
  const notification = {
    environment,
    revision,
    departurePosition,
    node: request.node,
    address: request.address,
    departures,
    departuresAfter,
    evacuated,
    evacuationPosition,
    ...(document === undefined ? {} : { document }),
  }
  const positions: MemberPosition[] = []
  const notify = async ({ node, address }: { readonly node: string; readonly address: string }) => {
    try {
      const options = { timeoutMs: MEMBER_LIMIT_MS }
      const response = await clients.client(DeliveryService, address).notify(notification, options)
      const { revision, departurePosition, evacuationPosition } = response
      positions.push({ node, revision, departurePosition, evacuationPosition } as MemberPosition)
    } catch {
      // The leader notifies a member itself that is not among the positions.
    }
  }
  await Promise.all(request.members.map(notify))
  return positions
}

/** Resolves to undefined if the promise takes longer than a relay waits. */
export function withinMemberLimit<Value>(promise: Promise<Value>): Promise<Value | undefined> {
  return Promise.race([promise, sleep(MEMBER_LIMIT_MS, undefined, { ref: false })])
}

export function relayedPositions(members: readonly MemberPosition[]): ReadonlyMap<NodeId, MemberPosition> {
  return new Map(members.map((position) => [nodeId(position.node), position]))
}
