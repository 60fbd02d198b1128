/**
 * Roster of the entries that hold idempotency keys. The holders of a key depend on the epoch in force at the key time,
 * so no two entries may ever disagree about the epoch of one key.
 *
 * A proposed epoch takes effect 90 s later. An entry uses a roster for 50 s after its confirmed read and accepts keys up
 * to 30 s ahead of its clock; with clock errors, every entry must be able to read an epoch 85 s before it takes effect.
 * A proposal can be committed late, by the next leader, and the log does not show when. A second command therefore
 * decides: a leader that sees the proposal committed early enough seals it, otherwise it voids it. Whichever is first in
 * the log stands. A seal that is itself committed late remains true. Until then the epoch is pending and keys at or
 * after its time have no holders, which refuses calls as `not run` instead of running one twice.
 */
import type { ControlState, RosterEntry, RosterEpoch } from './state'

export const ROSTER_DELAY_MS = 90_000
/** Time before `effectiveFrom` up to which a leader may seal an epoch. */
export const ROSTER_SEAL_MARGIN_MS = 85_000
/** The longest retention of an idempotency key that a document may set. */
export const ROSTER_RETENTION_MS = 24 * 3_600_000

/**
 * The first epoch takes effect at once: without any roster every entry refuses keyed calls, so there is no earlier
 * roster that it could contradict.
 */
export function proposeRoster(state: ControlState, entries: readonly RosterEntry[]): RosterEpoch {
  const newest = state.roster.at(-1)
  const epoch: RosterEpoch = {
    epoch: state.nextEpoch,
    effectiveFrom: newest === undefined ? state.clock : Math.max(state.clock + ROSTER_DELAY_MS, newest.effectiveFrom),
    entries,
    standing: newest === undefined ? 'sealed' : 'pending',
  }
  state.nextEpoch += 1
  state.rosterVersion += 1
  state.roster = [...forgetOld(state.roster, state.clock), epoch]
  return epoch
}

/** Returns false when the epoch is unknown or already decided. */
export function decideRoster(state: ControlState, epoch: number, standing: 'sealed' | 'void'): boolean {
  const index = state.roster.findIndex((candidate) => candidate.epoch === epoch)
  const found = state.roster[index]
  if (found?.standing !== 'pending') return false
  state.roster[index] = { ...found, standing }
  state.rosterVersion += 1
  return true
}

/** Epoch for a key time in milliseconds since the Unix epoch; undefined while none is decided for that time. */
export function epochAt(roster: readonly RosterEpoch[], keyTime: number): RosterEpoch | undefined {
  const started = roster.filter((epoch) => epoch.effectiveFrom <= keyTime && epoch.standing !== 'void')
  const newest = started.at(-1)
  return newest?.standing === 'sealed' ? newest : undefined
}

/** What the leader proposes for a pending epoch at `now` by its clock. */
export function rosterDecision(epoch: RosterEpoch, now: number): 'roster-seal' | 'roster-void' {
  return now <= epoch.effectiveFrom - ROSTER_SEAL_MARGIN_MS ? 'roster-seal' : 'roster-void'
}

/** Keeps every epoch that a key within the retention can refer to: those after, and the last sealed one before. */
function forgetOld(roster: readonly RosterEpoch[], now: number): RosterEpoch[] {
  const horizon = now - ROSTER_RETENTION_MS
  const covering = roster.findLastIndex((epoch) => epoch.effectiveFrom <= horizon && epoch.standing === 'sealed')
  return roster.filter((epoch, index) => index >= covering && epoch.standing !== 'void')
}
