/**
 * Self-repair of the replica set as a pure function: given the leader's status, it returns the next membership change.
 * A lost replica is replaced in the order add learner, promote learner, remove replica, so that the number of voting
 * copies never drops below the previous one. A change is made only if a live majority remains after it. Removing the
 * lost voter before the promotion is not safe: no majority is left if the voter was only unreachable and another disk
 * is lost before the promotion.
 */
import type { FailureDomain, NodeId, ReplicaId } from '@bilberrystall/base'
import { None, Some, type Option } from './option'
import type { ReplicaSetChange } from './input'
import type { ReplicaRole } from './message'
import { majorityOf } from './replica-set-history'
import type { Status } from './status'

/** A live node with a disk, and the replica on that disk. */
export interface RepairNode {
  readonly node: NodeId
  readonly replica: ReplicaId
  readonly failureDomain: FailureDomain
}

export interface RepairOptions {
  /** Status of the leader. */
  readonly status: Status
  /** Live nodes with a disk. They include members of the replica set, whose failure domains are taken from here. */
  readonly nodes: readonly RepairNode[]
  /** Known failure domains of nodes that are not live. */
  readonly failureDomains?: ReadonlyMap<NodeId, FailureDomain>
  /** Time on the clock of `step`, in milliseconds. */
  readonly now: number
  /** Target number of voters. */
  readonly target?: 3 | 5
  /** Time without contact after which a member counts as lost, in milliseconds, unless its node has another disk. */
  readonly lostAfter?: number
  /** A member counts as live if its last contact is no older than this, in milliseconds. */
  readonly liveWithin?: number
}

interface Member {
  readonly replica: ReplicaId
  readonly node: NodeId
  readonly role: ReplicaRole
  readonly failureDomain: FailureDomain | undefined
  readonly isLeader: boolean
  readonly isLive: boolean
  readonly isLost: boolean
  readonly caughtUp: boolean
  readonly lastContact: number
}

interface RepairView {
  readonly members: readonly Member[]
  readonly voters: readonly Member[]
  readonly learners: readonly Member[]
  readonly spares: readonly RepairNode[]
  readonly target: number
}

const DEFAULT_LOST_AFTER_MS = 60_000
const DEFAULT_LIVE_WITHIN_MS = 1_000
/**
 * Time without contact after which a member counts as lost if its node has another disk. A node that is known by an old
 * record, of a disk before that of the member, is in contact within this time.
 */
const REPLACED_AFTER_MS = 300

/**
 * Returns the next change, or none if a change is in progress, this replica is not the leader, or no change is needed.
 */
export function planRepair(options: RepairOptions): Option<ReplicaSetChange> {
  const { status } = options
  if (status.role !== 'leader' || !status.replicasCommitted) return None
  const view = buildView(options)
  if (!hasLiveMajority(view.voters)) return None
  const step = removeLostLearner(view) ?? promoteLearner(view) ?? removeExcessVoter(view) ?? addLearner(view)
  return step === undefined ? None : Some(step)
}

function buildView(options: RepairOptions): RepairView {
  const members = options.status.replicas.map((info) => buildMember(options, info.replica, info.node, info.role))
  // A node whose member is lost may return with a new disk, so only the nodes of the other members are excluded.
  const occupied = new Set(members.filter((member) => !member.isLost).map((member) => member.node))
  const memberReplicas = new Set(members.map((member) => member.replica))
  return {
    members,
    voters: members.filter((member) => member.role === 'voter'),
    learners: members.filter((member) => member.role === 'learner'),
    spares: options.nodes.filter((node) => !occupied.has(node.node) && !memberReplicas.has(node.replica)),
    target: options.target ?? 3,
  }
}

function buildMember(options: RepairOptions, replica: ReplicaId, node: NodeId, role: ReplicaRole): Member {
  const { status, now } = options
  const isLeader = replica === status.replica
  const follower = status.followers.find((candidate) => candidate.replica === replica)
  const lastContact = isLeader ? now : (follower?.lastContact ?? now)
  const sinceContactMs = now - lastContact
  const live = options.nodes.find((candidate) => candidate.node === node)
  // A process has one disk, so a node that returned with another one has lost that of the member.
  const isReplaced = live !== undefined && live.replica !== replica && sinceContactMs >= REPLACED_AFTER_MS
  return {
    replica,
    node,
    role,
    failureDomain: live?.failureDomain ?? options.failureDomains?.get(node),
    isLeader,
    isLive: !isReplaced && sinceContactMs <= (options.liveWithin ?? DEFAULT_LIVE_WITHIN_MS),
    isLost: isReplaced || sinceContactMs >= (options.lostAfter ?? DEFAULT_LOST_AFTER_MS),
    caughtUp: isLeader || follower?.caughtUp === true,
    lastContact,
  }
}

function hasLiveMajority(voters: readonly Member[]): boolean {
  return voters.length > 0 && voters.filter((voter) => voter.isLive).length >= majorityOf(voters.length)
}

/** A learner has no vote, so a lost learner can be removed at any time. */
function removeLostLearner(view: RepairView): ReplicaSetChange | undefined {
  const lost = view.learners.find((learner) => learner.isLost)
  return lost === undefined ? undefined : { kind: 'remove', replica: lost.replica }
}

/**
 * Promotes a learner that is live and caught up. While a voter is unreachable but not yet lost, the promotion waits: it
 * would make every live voter necessary for a majority without allowing a removal any sooner.
 */
function promoteLearner(view: RepairView): ReplicaSetChange | undefined {
  const ready = view.learners.find((learner) => learner.isLive && learner.caughtUp)
  if (ready === undefined || !hasLiveMajority([...view.voters, ready])) return undefined
  const awaitsUnreachableVoter =
    view.voters.some((voter) => !voter.isLive) && !view.voters.some((voter) => voter.isLost)
  return awaitsUnreachableVoter ? undefined : { kind: 'promote', replica: ready.replica }
}

/**
 * Removes a voter above the target number: a lost voter first, otherwise one from the failure domain with the most
 * voters.
 */
function removeExcessVoter(view: RepairView): ReplicaSetChange | undefined {
  if (view.voters.length <= targetVoterCount(view)) return undefined
  const removable = view.voters.filter((voter) => !voter.isLeader && hasLiveMajority(exclude(view.voters, voter)))
  const lost = removable.filter((voter) => voter.isLost)
  // An unreachable voter may return or be lost. Removing a live voter meanwhile would use up the fault tolerance.
  if (lost.length === 0 && view.voters.some((voter) => !voter.isLive)) return undefined
  const candidates = (lost.length > 0 ? lost : removable).toSorted(
    (left, right) =>
      votersInSameDomain(view, right) - votersInSameDomain(view, left) || compareIds(left.replica, right.replica),
  )
  const chosen = candidates[0]
  return chosen === undefined ? undefined : { kind: 'remove', replica: chosen.replica }
}

/** A learner that does not answer, such as one whose node is still starting, does not hold up the others. */
function addLearner(view: RepairView): ReplicaSetChange | undefined {
  if (view.learners.some((learner) => learner.isLive)) return undefined
  const remaining = view.voters.filter((voter) => !voter.isLost)
  const needsVoter = remaining.length < targetVoterCount(view)
  const voterCounts = view.spares.map((spare) => countVotersInDomain(remaining, spare.failureDomain))
  const lowestCount = Math.min(...voterCounts)
  const chosen = view.spares
    .filter((_, position) => voterCounts[position] === lowestCount)
    .toSorted((left, right) => compareIds(left.node, right.node))[0]
  if (chosen === undefined || !(needsVoter || (lowestCount === 0 && sharesFailureDomain(remaining)))) return undefined
  return { kind: 'add-learner', replica: chosen.replica, node: chosen.node }
}

/**
 * Returns the target, or the largest odd number of voters that the available nodes allow if that is lower: an even
 * number of voters tolerates no more losses than the odd number below it. Shortage of nodes alone never lowers the
 * number of voters, because a smaller set stores fewer copies.
 */
function targetVoterCount(view: RepairView): number {
  const remaining = view.voters.filter((voter) => !voter.isLost).length
  const available = remaining + view.learners.filter((learner) => !learner.isLost).length + view.spares.length
  const odd = available % 2 === 0 ? available - 1 : available
  return Math.min(view.target, Math.max(odd, view.voters.length))
}

function exclude(voters: readonly Member[], removed: Member): readonly Member[] {
  return voters.filter((voter) => voter !== removed)
}

/**
 * Number of voters in the failure domain of the member. A member with an unknown domain counts as alone in its domain.
 */
function votersInSameDomain(view: RepairView, member: Member): number {
  return member.failureDomain === undefined ? 1 : countVotersInDomain(view.voters, member.failureDomain)
}

function countVotersInDomain(voters: readonly Member[], failureDomain: FailureDomain): number {
  return voters.filter((voter) => voter.failureDomain === failureDomain).length
}

function sharesFailureDomain(voters: readonly Member[]): boolean {
  const domains = voters.flatMap((voter) => (voter.failureDomain === undefined ? [] : [voter.failureDomain]))
  return new Set(domains).size < domains.length
}

function compareIds(left: string, right: string): number {
  if (left === right) return 0
  return left < right ? -1 : 1
}
