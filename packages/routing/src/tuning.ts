/** Constants of the policy that were varied in trials. */
export const TUNING = {
  fresh: 1.05,
  waited: 1.4,
  wait: 10,
  bounceTokens: 3,
  bounceTries: 1,
  tick: 2,
}
