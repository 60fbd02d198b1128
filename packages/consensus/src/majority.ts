/** What a leader may conclude from a majority of voters: contact, lease, confirmed rounds, replicated entries. */
import { logIndex, type LogIndex } from '@bilberrystall/base'
import type { Core, Leadership } from './core'
import type { Progress } from './progress'

/** Whether a majority of voters, the leader included if it is one, satisfies `holds`. */
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

/** True once an entry of the current term is committed; before, the commit index may lag behind earlier leaders. */
export function knowsCommit(core: Core): boolean {
  return core.log.termAt(core.commit) === core.term
}

/** Highest index that is synced at a majority. */
function majorityMatch(core: Core, lead: Leadership): LogIndex {
  const matches = core.sets.voters.map((voter) =>
    voter.replica === core.replica ? core.disk.durable : (lead.progress.get(voter.replica)?.match ?? 0),
  )
  matches.sort((left, right) => right - left)
  return logIndex(matches[core.sets.majority - 1] ?? 0)
}

/** Commits what a majority holds. Only entries of the current term are counted; they commit the earlier ones. */
export function advanceCommit(core: Core, lead: Leadership): boolean {
  const index = majorityMatch(core, lead)
  if (index <= core.commit || core.log.termAt(index) !== core.term) return false
  core.commit = index
  return true
}
