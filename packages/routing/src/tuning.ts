/** Constants of the policy that were varied in trials. */
export const TUNING = {
  fresh: 1.4,
  slope: 0.1,
  cap: 3,
  alone: 10,
  bounceTokens: 3,
  bounceTries: 1,
  tick: 2,
  slowPenalty: 0,
  yieldShare: 0.005,
}
