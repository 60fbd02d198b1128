/**
 * Roster of the entries that store idempotency keys. Which entries store a key depends on the roster epoch in force at
 * the time of the key, so no two entries may ever disagree about the epoch of a key.
 *
 * A proposed epoch takes effect 90 s later. An entry uses a roster for 50 s after a linearizable read of it and accepts
 * keys up to 30 s ahead of its clock. Including clock errors, every entry must be able to read an epoch 85 s before it
 * takes effect. A proposal may be committed late, by the next leader, and the log does not record when. The epoch is
 * therefore decided by a second command: a leader that sees the proposal committed early enough seals the epoch,
 * otherwise it voids it. The first decision in the log is final. A seal stays valid even if it is committed late
 * itself. An undecided epoch is pending: keys at or after its start have no holders, so their calls are refused with
 * outcome `not-run` instead of possibly running twice.
 */
import type { ControlState, RosterEntry, RosterEpoch } from './state'

export const ROSTER_DELAY_MS = 90_000
/** Time before the `effectiveFrom` of an epoch after which a leader may no longer seal it. */
export const ROSTER_SEAL_MARGIN_MS = 85_000
/** Longest retention of idempotency keys that a document may set. */
export const ROSTER_RETENTION_MS = 24 * 3_600_000

/**
 * Adds a proposed epoch. The first epoch is sealed and takes effect at once: entries refuse calls with keys while there
 * is no roster, so it cannot conflict with an earlier one.
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
  state.roster = [...pruneEpochs(state.roster, state.clock), epoch]
  return epoch
}

/** Seals or voids a pending epoch. Returns false if the epoch is unknown or already decided. */
export function decideRoster(state: ControlState, epoch: number, standing: 'sealed' | 'void'): boolean {
  const index = state.roster.findIndex((candidate) => candidate.epoch === epoch)
  const found = state.roster[index]
  if (found?.standing !== 'pending') return false
  state.roster[index] = { ...found, standing }
  state.rosterVersion += 1
  return true
}

/**
 * Epoch for a key time in milliseconds since the Unix epoch. Undefined while the newest epoch at that time is pending.
 */
export function epochAt(roster: readonly RosterEpoch[], keyTime: number): RosterEpoch | undefined {
  const started = roster.filter((epoch) => epoch.effectiveFrom <= keyTime && epoch.standing !== 'void')
  const newest = started.at(-1)
  return newest?.standing === 'sealed' ? newest : undefined
}

/** Kind of the command that the leader proposes for a pending epoch. `now` is the time on the leader's clock. */
export function rosterDecision(epoch: RosterEpoch, now: number): 'roster-seal' | 'roster-void' {
  return now <= epoch.effectiveFrom - ROSTER_SEAL_MARGIN_MS ? 'roster-seal' : 'roster-void'
}

/**
 * Keeps the epochs that a key within the retention may refer to: later ones, and the last one sealed before its start.
 */
function pruneEpochs(roster: readonly RosterEpoch[], now: number): RosterEpoch[] {
  const horizon = now - ROSTER_RETENTION_MS
  const oldestNeeded = roster.findLastIndex((epoch) => epoch.effectiveFrom <= horizon && epoch.standing === 'sealed')
  return roster.filter((epoch, index) => index >= oldestNeeded && epoch.standing !== 'void')
}
