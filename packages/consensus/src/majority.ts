/**
 * Checks over a majority of voters, made by the leader: contact, lease, confirmed read rounds and committed entries.
 */
import { logIndex, type LogIndex } from '@bilberrystall/base'
import type { Core, Leadership } from './core'
import type { Progress } from './progress'

/** Whether a majority of voters satisfies `predicate`. The leader counts as satisfying it if it is a voter. */
function majorityHolds(core: Core, lead: Leadership, holds: (progress: Progress) => boolean): boolean {
  let count = 0
  for (const voter of core.sets.voters) {
    const progress = lead.progress.get(voter.replica)
    if (voter.replica === core.replica || (progress !== undefined && holds(progress))) count += 1
  }
  return count >= core.sets.majority
}

export function hasMajorityContact(core: Core, lead: Leadership): boolean {
  const since = core.now - core.limits.majorityTimeout
  return majorityHolds(core, lead, (progress) => progress.lastContact > since)
}

export function holdsLease(core: Core, lead: Leadership): boolean {
  const since = core.now - core.limits.lease
  return !lead.leaseVoid && majorityHolds(core, lead, (progress) => progress.confirmedAt > since)
}

export function isRoundConfirmed(core: Core, lead: Leadership, round: number): boolean {
  return majorityHolds(core, lead, (progress) => progress.round >= round)
}

/** Whether an entry of the current term is committed. Before that, earlier leaders may have committed more entries. */
export function knowsCommit(core: Core): boolean {
  return core.log.termAt(core.commit) === core.term
}

/** Highest index that is synced at a majority of voters. */
function majorityMatch(core: Core, lead: Leadership): LogIndex {
  const matches = core.sets.voters.map((voter) =>
    voter.replica === core.replica ? core.disk.durable : (lead.progress.get(voter.replica)?.match ?? 0),
  )
  matches.sort((left, right) => right - left)
  return logIndex(matches[core.sets.majority - 1] ?? 0)
}

/**
 * Advances the commit index to the highest index that a majority has synced. Only an entry of the current term may be
 * committed by counting; it commits the entries before it.
 */
export function advanceCommit(core: Core, lead: Leadership): boolean {
  const index = majorityMatch(core, lead)
  if (index <= core.commit || core.log.termAt(index) !== core.term) return false
  core.commit = index
  return true
}
