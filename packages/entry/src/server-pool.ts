/** The connection pool of an announced server, which reports what it observes as events of the entry. */
import { ConnectionPool } from './connection-pool'
import type { EntryEvents, EntryServer } from './entry-options'
import type { Clock, Limits } from './limits'

export interface ServerPoolOptions {
  readonly limits: Limits
  readonly clock: Clock
  readonly maxConnections: () => number
  readonly events: EntryEvents
}

export function createServerPool(
  { id, address }: EntryServer,
  { events, ...options }: ServerPoolOptions,
): ConnectionPool {
  return new ConnectionPool({
    ...options,
    address,
    onRetired: (count) => events.silentRetired?.(id, count),
    onRefused: (refused) => events.responseRefused?.(id, refused),
    onReuseChanged: (isAllowed) => events.reuseChanged?.(id, isAllowed),
  })
}
