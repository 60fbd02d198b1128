/**
 * Constants of the policy that the comparison in `docs/ROUTING.md` varies. Costs are the estimated load of a server after
 * the call divided by its slots: 1 means that all its slots are busy then.
 */
export interface Tuning {
  /** Highest cost at which a call that has just arrived is sent. */
  readonly freshCost: number
  /** Rise of that limit per ms of waiting, so that a call cannot starve behind other entries' calls. */
  readonly costPerMs: number
  /** Limit of the rise: bounds the queues at servers under overload. */
  readonly largestCost: number
  /** Wait in ms after which a call is sent at any cost if this entry has no call in flight that could bring news. */
  readonly newsWait: number
  /** Retry tokens below which no call is sent with the request to be shed by a full server. */
  readonly spareTokens: number
  /** Part of its time for which a deferrable call leaves the last free slots to urgent ones. */
  readonly yieldShare: number
  /** Weight of load reports, 0 to use only the calls of this entry. */
  readonly reportWeight: number
  /**
   * Age in ms at which a single report has lost half of its weight against the server's average. With 20 ms all entries
   * followed the same reports when these were 500 ms old.
   */
  readonly reportMemory: number
  /** Rise of a server's rank per unit of evidence that it is slow. */
  readonly suspicionWeight: number
}

export const DEFAULT_TUNING: Tuning = {
  freshCost: 1.7,
  costPerMs: 0.1,
  largestCost: 5,
  newsWait: 10,
  spareTokens: 3,
  yieldShare: 0.005,
  reportWeight: 1,
  reportMemory: 6,
  suspicionWeight: 0.03,
}
