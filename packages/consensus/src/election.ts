/** Leader election: pre-votes, votes and becoming the leader. */
import { logIndex, term, type ReplicaId } from '@bilberrystall/base'
import type { ReplicaCore } from './replica-core'
import type { PreVoteMessage, PreVoteResponseMessage, VoteMessage, VoteResponseMessage } from './message'
import { broadcast, updateFollowers } from './replication'

export function tickElection(core: ReplicaCore): void {
  if (core.mode === 'leader' || core.now < core.electionDeadline) return
  // A new election would start with another unsynced vote, so on a slow disk no election would ever finish.
  if (core.mode === 'candidate' && !core.persistence.ballotSynced) return
  // It could not store its vote, and the other replicas would wait for it.
  if (core.isDiskStuck()) return
  if (!core.isVoter()) {
    core.leader = undefined
    core.resetElectionTimer()
    return
  }
  startPreVote(core)
}

function startPreVote(core: ReplicaCore): void {
  core.mode = 'pre-candidate'
  core.leader = undefined
  core.votes = new Set([core.replica])
  core.resetElectionTimer()
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
  if (hasVoteMajority(core)) startElection(core, false)
}

export function startElection(core: ReplicaCore, transfer: boolean): void {
  core.setBallot(term(core.term + 1), core.replica)
  core.mode = 'candidate'
  core.leader = undefined
  core.votes = new Set()
  core.resetElectionTimer()
  for (const peer of otherVoters(core)) {
    const { lastIndex, lastTerm } = core.log
    core.send({ kind: 'vote', ...core.envelope(peer), lastIndex, lastTerm, transfer })
  }
}

/** Counts this replica's own vote once it is synced, like the vote of any other voter. */
export function countOwnVote(core: ReplicaCore): void {
  if (core.mode !== 'candidate' || !core.persistence.ballotSynced || core.votedFor !== core.replica) return
  core.votes.add(core.replica)
  if (hasVoteMajority(core)) becomeLeader(core)
}

export function receivePreVote(core: ReplicaCore, message: PreVoteMessage): void {
  const isAcceptable = message.term > core.term && core.isUpToDate(message.lastIndex, message.lastTerm)
  const granted = isAcceptable && !core.hasRecentLeader()
  core.send({
    kind: 'pre-vote-response',
    ...core.envelope(message.from),
    term: granted ? message.term : core.term,
    granted,
  })
}

export function receivePreVoteResponse(core: ReplicaCore, message: PreVoteResponseMessage): void {
  if (!message.granted) {
    if (message.term > core.term) core.becomeFollower(message.term, undefined)
    return
  }
  if (core.mode !== 'pre-candidate' || message.term !== core.term + 1) return
  core.votes.add(message.from)
  if (hasVoteMajority(core)) startElection(core, false)
}

export function receiveVote(core: ReplicaCore, message: VoteMessage): void {
  // A voter in contact with its leader ignores other candidates. The leader lease relies on this.
  if (!message.transfer && core.hasRecentLeader()) return
  if (message.term > core.term) core.becomeFollower(message.term, undefined)
  const canVote = core.votedFor === undefined || core.votedFor === message.from
  const granted = message.term === core.term && canVote && core.isUpToDate(message.lastIndex, message.lastTerm)
  if (granted) {
    core.mode = 'follower'
    if (core.votedFor === undefined) core.setBallot(core.term, message.from)
    core.resetElectionTimer()
  }
  core.send({ kind: 'vote-response', ...core.envelope(message.from), granted })
}

export function receiveVoteResponse(core: ReplicaCore, message: VoteResponseMessage): void {
  if (message.term > core.term) {
    core.becomeFollower(message.term, undefined)
    return
  }
  if (core.mode !== 'candidate' || message.term !== core.term || !message.granted) return
  core.votes.add(message.from)
  if (hasVoteMajority(core)) becomeLeader(core)
}

function becomeLeader(core: ReplicaCore): void {
  core.mode = 'leader'
  core.leader = core.replica
  core.leaderState = {
    progress: new Map(),
    round: 0,
    nextHeartbeatAt: core.now + core.limits.heartbeatInterval,
    transfer: undefined,
    promotion: undefined,
    snapshot: undefined,
    leaseRevoked: false,
    unappliedBytes: core.log.bytesAfter(core.appliedIndex),
  }
  core.incomingSnapshot = undefined
  updateFollowers(core)
  core.appendEntries([{ kind: 'no-op', index: logIndex(core.log.lastIndex + 1), term: core.term }])
  broadcast(core)
}

function otherVoters(core: ReplicaCore): readonly ReplicaId[] {
  return core.replicaSets.voters.map((info) => info.replica).filter((replica) => replica !== core.replica)
}

function hasVoteMajority(core: ReplicaCore): boolean {
  const granted = core.replicaSets.voters.filter((info) => core.votes.has(info.replica))
  return granted.length >= core.replicaSets.majority
}
