/**
 * Splits the calls of a route among services by weight. Smooth weighted round robin keeps every service close to its
 * share even over few calls; random initial weights prevent entries that start together from choosing in lockstep.
 */
import { randomInt, type RandomSource } from '@bilberrystall/base'
import type { Document, Route, WeightedService } from '@bilberrystall/document'

export class TrafficSplitter {
  readonly #random: RandomSource
  #currentWeights = new Map<string, number[]>()

  constructor(random: RandomSource) {
    this.#random = random
  }

  /** Keeps the current weights of routes whose number of services is unchanged. */
  configure(document: Document): void {
    const before = this.#currentWeights
    this.#currentWeights = new Map()
    for (const { name, split } of document.routes) {
      if (split.length === 0) continue
      const previous = before.get(name)
      this.#currentWeights.set(name, previous?.length === split.length ? previous : this.#initialWeights(split))
    }
  }

  /** Returns the route with the service selected for this call. */
  selectService(route: Route): Route {
    const { split, name } = route
    if (split.length === 0) return route
    const currentWeights = this.#currentWeights.get(name) ?? this.#initialWeights(split)
    this.#currentWeights.set(name, currentWeights)
    let best = 0
    let total = 0
    for (const [index, { weight }] of split.entries()) {
      total += weight
      currentWeights[index] = (currentWeights[index] ?? 0) + weight
      if ((currentWeights[index] ?? 0) > (currentWeights[best] ?? 0)) best = index
    }
    currentWeights[best] = (currentWeights[best] ?? 0) - total
    return { ...route, service: split[best]?.service ?? route.service }
  }

  #initialWeights(split: readonly WeightedService[]): number[] {
    return split.map(({ weight }) => randomInt(this.#random, weight + 1))
  }
}
