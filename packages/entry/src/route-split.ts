/**
 * Splits the calls of a route among services by weight. Smooth weighted round robin keeps every service close to its
 * share even over few calls; random initial weights prevent entries that start together from choosing in lockstep.
 */
import { randomBelow, type Random } from '@bilberrystall/base'
import type { Document, Route, SplitPart } from '@bilberrystall/document'

export class RouteSplits {
  readonly #random: Random
  #credits = new Map<string, number[]>()

  constructor(random: Random) {
    this.#random = random
  }

  /** Keeps the current weights of routes whose number of services is unchanged. */
  configure(document: Document): void {
    const before = this.#credits
    this.#credits = new Map()
    for (const { name, split } of document.routes) {
      if (split.length === 0) continue
      const known = before.get(name)
      this.#credits.set(name, known?.length === split.length ? known : this.#firstCredits(split))
    }
  }

  /** Returns the route with the service selected for this call. */
  choose(route: Route): Route {
    const { split, name } = route
    if (split.length === 0) return route
    const credits = this.#credits.get(name) ?? this.#firstCredits(split)
    this.#credits.set(name, credits)
    let best = 0
    let total = 0
    for (const [index, { weight }] of split.entries()) {
      total += weight
      credits[index] = (credits[index] ?? 0) + weight
      if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index
    }
    credits[best] = (credits[best] ?? 0) - total
    return { ...route, service: split[best]?.service ?? route.service }
  }

  #firstCredits(split: readonly SplitPart[]): number[] {
    return split.map(({ weight }) => randomBelow(this.#random, weight + 1))
  }
}
