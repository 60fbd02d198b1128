/** Random sources for pure code. The seeded source makes tests and benchmarks reproducible. */

/** Returns a number in [0, 1). */
export type RandomSource = () => number

/** Mulberry32: a small 32-bit generator, sufficient for load balancing and simulation, not for secrets. */
export function seededRandom(seed: number): RandomSource {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Returns an integer in [0, bound). */
export function randomInt(random: RandomSource, bound: number): number {
  return Math.floor(random() * bound)
}
