/**
 * Selection of the holders of a key. It depends only on the key and on the roster in force at the key time, so every
 * entry computes the same holders for as long as the key can be used.
 */
import { createHash } from 'node:crypto'
import type { FailureDomain, IdempotencyKey, NodeId } from '@bilberrystall/base'

export const HOLDERS_PER_KEY = 5

export interface RosterEntry {
  readonly node: NodeId
  readonly domain: FailureDomain
}

/** The entries that hold claims on keys whose time is at or after `effectiveFrom` (Unix ms), up to the next epoch. */
export interface RosterEpoch {
  readonly epoch: number
  readonly effectiveFrom: number
  readonly entries: readonly RosterEntry[]
}

/** Returns the epoch in force at the key time; undefined if the history does not reach back that far. */
export function rosterAt(history: readonly RosterEpoch[], keyTime: number): RosterEpoch | undefined {
  let found: RosterEpoch | undefined
  for (const candidate of history) {
    const inForce = candidate.effectiveFrom <= keyTime
    if (inForce && (found === undefined || candidate.epoch > found.epoch)) {
      found = candidate
    }
  }
  return found
}

export function majorityOf(holders: number): number {
  return Math.floor(holders / 2) + 1
}

function score(key: IdempotencyKey, node: NodeId): bigint {
  return createHash('sha256').update(key).update('\0').update(node).digest().readBigUInt64BE(0)
}

/**
 * Chooses the holders of a key by rendezvous hashing, round robin over failure domains. With three or more domains of
 * sufficient size, no domain has more than two of the five holders, so a majority survives the loss of a domain.
 */
export function chooseHolders(key: IdempotencyKey, roster: readonly RosterEntry[]): readonly NodeId[] {
  const scored = roster.map((entry) => ({ ...entry, score: score(key, entry.node) }))
  scored.sort((a, b) => (a.score === b.score ? (a.node < b.node ? -1 : 1) : a.score > b.score ? -1 : 1))
  const domains = new Map<FailureDomain, NodeId[]>()
  for (const entry of scored) {
    const nodes = domains.get(entry.domain) ?? []
    nodes.push(entry.node)
    domains.set(entry.domain, nodes)
  }
  const wanted = Math.min(HOLDERS_PER_KEY, scored.length)
  const chosen: NodeId[] = []
  for (let round = 0; chosen.length < wanted; round += 1) {
    for (const nodes of domains.values()) {
      const node = nodes[round]
      if (node !== undefined && chosen.length < wanted) {
        chosen.push(node)
      }
    }
  }
  return chosen
}
