/** Leader election: pre-votes, votes and becoming the leader. */
import { logIndex, term, type ReplicaId } from '@bilberrystall/base'
import type { Core } from './core'
import type { PreVoteMessage, PreVoteResponseMessage, VoteMessage, VoteResponseMessage } from './message'
import { broadcast, syncFollowers } from './replication'

export function tickElection(core: Core): void {
  if (core.mode === 'leader' || core.now < core.electionDeadline) return
  // A new election would start with another unsynced vote, so on a slow disk no election would ever finish.
  if (core.mode === 'candidate' && !core.disk.ballotSynced) return
  if (!core.isVoter()) {
    core.leader = undefined
    core.resetElection()
    return
  }
  startPreVote(core)
}

function startPreVote(core: Core): void {
  core.mode = 'pre-candidate'
  core.leader = undefined
  core.votes = new Set([core.replica])
  core.resetElection()
  for (const peer of otherVoters(core)) {
    const { lastIndex, lastTerm } = core.log
    core.send({
      kind: 'pre-vote',
      from: core.replica,
      to: peer,
      term: term(core.term + 1),
      lastIndex,
      lastTerm,
    })
  }
  if (hasMajority(core)) startElection(core, false)
}

export function startElection(core: Core, transfer: boolean): void {
  core.setBallot(term(core.term + 1), core.replica)
  core.mode = 'candidate'
  core.leader = undefined
  core.votes = new Set()
  core.resetElection()
  for (const peer of otherVoters(core)) {
    const { lastIndex, lastTerm } = core.log
    core.send({ kind: 'vote', ...core.envelope(peer), lastIndex, lastTerm, transfer })
  }
}

/** Counts this replica's own vote once it is synced, like the vote of any other voter. */
export function countOwnVote(core: Core): void {
  if (core.mode !== 'candidate' || !core.disk.ballotSynced || core.votedFor !== core.replica) return
  core.votes.add(core.replica)
  if (hasMajority(core)) becomeLeader(core)
}

export function receivePreVote(core: Core, message: PreVoteMessage): void {
  const wanted = message.term > core.term && core.isUpToDate(message.lastIndex, message.lastTerm)
  const granted = wanted && !core.heardLeader()
  core.send({
    kind: 'pre-vote-response',
    ...core.envelope(message.from),
    term: granted ? message.term : core.term,
    granted,
  })
}

export function receivePreVoteResponse(core: Core, message: PreVoteResponseMessage): void {
  if (!message.granted) {
    if (message.term > core.term) core.becomeFollower(message.term, undefined)
    return
  }
  if (core.mode !== 'pre-candidate' || message.term !== core.term + 1) return
  core.votes.add(message.from)
  if (hasMajority(core)) startElection(core, false)
}

export function receiveVote(core: Core, message: VoteMessage): void {
  // A voter in contact with its leader ignores other candidates. The leader lease relies on this.
  if (!message.transfer && core.heardLeader()) return
  if (message.term > core.term) core.becomeFollower(message.term, undefined)
  const free = core.votedFor === undefined || core.votedFor === message.from
  const granted = message.term === core.term && free && core.isUpToDate(message.lastIndex, message.lastTerm)
  if (granted) {
    core.mode = 'follower'
    if (core.votedFor === undefined) core.setBallot(core.term, message.from)
    core.resetElection()
  }
  core.send({ kind: 'vote-response', ...core.envelope(message.from), granted })
}

export function receiveVoteResponse(core: Core, message: VoteResponseMessage): void {
  if (message.term > core.term) {
    core.becomeFollower(message.term, undefined)
    return
  }
  if (core.mode !== 'candidate' || message.term !== core.term || !message.granted) return
  core.votes.add(message.from)
  if (hasMajority(core)) becomeLeader(core)
}

function becomeLeader(core: Core): void {
  core.mode = 'leader'
  core.leader = core.replica
  core.lead = {
    progress: new Map(),
    round: 0,
    heartbeatDue: core.now + core.limits.heartbeat,
    transfer: undefined,
    promotion: undefined,
    snapshot: undefined,
    leaseVoid: false,
    backlog: core.log.bytesAfter(core.applied),
  }
  core.incoming = undefined
  syncFollowers(core)
  core.append([{ kind: 'no-op', index: logIndex(core.log.lastIndex + 1), term: core.term }])
  broadcast(core)
}

function otherVoters(core: Core): readonly ReplicaId[] {
  return core.sets.voters.map((info) => info.replica).filter((replica) => replica !== core.replica)
}

function hasMajority(core: Core): boolean {
  const granted = core.sets.voters.filter((info) => core.votes.has(info.replica))
  return granted.length >= core.sets.majority
}
