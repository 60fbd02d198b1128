/** Determines which routes have the highest priority of their service in the document in force. */
import type { ServiceName } from '@bilberrystall/base'
import type { Document, Route } from '@bilberrystall/document'

export class RoutePriorities {
  #highestPriorities = new Map<ServiceName, number>()

  configure(document: Document): void {
    this.#highestPriorities = new Map()
    for (const route of document.routes) {
      const parts = route.split.length === 0 ? [route.service] : route.split.map(({ service }) => service)
      for (const service of parts) {
        this.#highestPriorities.set(service, Math.min(route.priority, this.#highestPriorities.get(service) ?? Infinity))
      }
    }
  }

  /** Whether calls of the route yield to those of another route of the same service. */
  isDeferrable({ urgency, priority, service }: Route): boolean {
    return urgency === 'deferrable' || priority > (this.#highestPriorities.get(service) ?? priority)
  }
}
