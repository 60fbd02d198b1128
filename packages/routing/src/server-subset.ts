/**
 * Stable subset of the servers of a large service that one entry works with. If every entry used every server, each
 * would meet a server so rarely that its connections were closed and all that it knew was stale. The subset is chosen
 * by rendezvous hashing, so a server that joins or leaves changes one member, and the subsets of the entries together
 * cover the servers evenly. Most members are in the failure domain of the entry; the others keep calls going if that
 * domain is busy, and a call that finds no free member is offered to servers outside.
 */
import { rendezvousChoice } from '@bilberrystall/base'
import { isStaying } from './eligibility'
import type { ServerRecord } from './server-record'

/** Services with at most this many servers are used as a whole. */
const WHOLE_SERVICE_SERVERS = 24
/** Members in the entry's failure domain: enough that three free ones of usual speed are found almost always. */
const OWN_DOMAIN_MEMBERS = 7
const OTHER_MEMBERS = 3

export interface SubsetOptions {
  /** Identifies the entry; entries with different ids get different subsets. */
  readonly entry: string
  /** Failure domain of the entry. */
  readonly domain: string
}

/** Returns the members among the ready servers. */
export function chooseSubset(records: readonly ServerRecord[], options: SubsetOptions): readonly ServerRecord[] {
  if (records.length <= WHOLE_SERVICE_SERVERS) return records
  const ready = records.filter(isStaying)
  const choose = (candidates: readonly ServerRecord[], count: number) =>
    rendezvousChoice(options.entry, candidates, count, ({ server }) => server.id)
  const own = choose(
    ready.filter(({ server }) => server.domain === options.domain),
    OWN_DOMAIN_MEMBERS,
  )
  const others = ready.filter(({ server }) => server.domain !== options.domain)
  return [...own, ...choose(others, OWN_DOMAIN_MEMBERS + OTHER_MEMBERS - own.length)]
}
