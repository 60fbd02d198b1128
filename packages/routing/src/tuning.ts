/**
 * Parameters of the routing policy that the comparison in `docs/ROUTING.md` varies. The cost of a server is its
 * estimated load including the new call, divided by its slots: 1 means that the call occupies the last free slot.
 */
export interface Tuning {
  /** Highest cost at which a newly arrived call is sent. */
  readonly initialCostLimit: number
  /** Increase of that limit per ms of waiting, so that calls of other entries cannot starve a call. */
  readonly costLimitPerMs: number
  /** Upper bound of the limit, which bounds the queues at servers under overload. */
  readonly maxCostLimit: number
  /** Wait in ms after which a call is sent at any cost if no call in flight could bring a load report. */
  readonly maxWaitWithoutReports: number
  /** Number of available retry tokens below which no call is sent with a limit on the queue of the server. */
  readonly minRetryTokens: number
  /** Share of its time to the deadline for which a deferrable call leaves the last free slots to urgent calls. */
  readonly deferrableYieldShare: number
  /** Weight of load reports; 0 uses only the calls of this entry. */
  readonly reportWeight: number
  /**
   * Age in ms at which a single report has half of its weight against the server's average. With 20 ms all entries
   * followed the same reports even when these were 500 ms old.
   */
  readonly reportHalfLife: number
  /** Relative increase of a server's rank per unit of evidence that it is slow. */
  readonly slowEvidenceWeight: number
}

export const DEFAULT_TUNING: Tuning = {
  initialCostLimit: 1.7,
  costLimitPerMs: 0.1,
  maxCostLimit: 5,
  maxWaitWithoutReports: 10,
  minRetryTokens: 3,
  deferrableYieldShare: 0.005,
  reportWeight: 1,
  reportHalfLife: 6,
  slowEvidenceWeight: 0.03,
}
