/** Validates the announcement that a server posts to an entry. */
import {
  environmentName,
  failure,
  failureDomain,
  formatFault,
  serverId,
  serviceName,
  type Failure,
} from '@bilberrystall/base'
import { field } from '@bilberrystall/document'
import type { Server } from '@bilberrystall/membership'
import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'

const MAX_SLOTS = 10_000
const MAX_CONNECTIONS = 100_000

const announcementSchema = z.strictObject({
  environment: field.name,
  service: field.name,
  server: field.name,
  start: z.int().nonnegative(),
  sequence: z.int().nonnegative(),
  state: z.enum(['starting', 'ready', 'draining', 'stopped']),
  address: field.address,
  failureDomain: field.name,
  slots: z.int().min(1).max(MAX_SLOTS),
  connectionLimit: z.int().min(1).max(MAX_CONNECTIONS),
  /** Remaining time in ms for which the server is cold. */
  warmUpMs: z.int().nonnegative().optional(),
  /** Running and queued calls as reported by the server; may be stale or wrong. */
  load: z.number().nonnegative().optional(),
})

export interface Announcement {
  readonly server: Server
  readonly load: number | undefined
}

export function parseAnnouncement(body: unknown): Result<Announcement, Failure> {
  const parsed = announcementSchema.safeParse(body)
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) =>
      formatFault({ section: 'announcement', key: issue.path.join('.'), reason: issue.message }),
    )
    return err(failure('announcementInvalid', faults.join('; ')))
  }
  const { load, warmUpMs = 0, ...raw } = parsed.data
  const server: Server = {
    ...raw,
    environment: environmentName(raw.environment),
    service: serviceName(raw.service),
    server: serverId(raw.server),
    failureDomain: failureDomain(raw.failureDomain),
    ...(warmUpMs === 0 ? {} : { warmUpMs }),
  }
  return ok({ server, load })
}
