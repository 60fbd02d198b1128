/**
 * Weights of rendezvous hashing. A chooser that takes the candidates of highest weight keeps its choice when candidates
 * join or leave, except for the ones that did, and different choosers choose independently.
 */

/** FNV-1a with a final avalanche, without which ids that differ in their last character get similar weights. */
export function rendezvousWeight(chooser: string, candidate: string): number {
  let hash = 0x811c9dc5
  for (const text of [chooser, '/', candidate]) {
    for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Number of candidates that precede `candidate` for the chooser. It changes little when candidates join or leave. */
export function rendezvousRank(chooser: string, candidate: string, candidates: readonly string[]): number {
  const weight = rendezvousWeight(chooser, candidate)
  let rank = 0
  for (const other of candidates) {
    const otherWeight = rendezvousWeight(chooser, other)
    if (otherWeight > weight || (otherWeight === weight && other < candidate)) rank += 1
  }
  return rank
}

/** Returns the `count` candidates of highest weight, highest first. */
export function rendezvousChoice<Candidate>(
  chooser: string,
  candidates: readonly Candidate[],
  count: number,
  idOf: (candidate: Candidate) => string,
): readonly Candidate[] {
  return candidates
    .map((candidate) => ({ candidate, weight: rendezvousWeight(chooser, idOf(candidate)) }))
    .sort((left, right) => right.weight - left.weight)
    .slice(0, count)
    .map(({ candidate }) => candidate)
}
