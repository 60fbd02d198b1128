/**
 * Interface between the load balancer and an adapter for an operator's platform. An adapter only translates names and
 * formats: it decodes the platform's requests, calls the gateway and encodes the response. It makes no decisions.
 */
import type { Failure, ServerId } from '@bilberrystall/base'
import type { Sections, RemovedSections } from '@bilberrystall/document'
import type { Dialect } from '@bilberrystall/entry'
import type { QuotaBounds } from '@bilberrystall/routing'
import type { Server } from '@bilberrystall/membership'
import type { Hono } from 'hono'
import type { Result } from 'neverthrow'
import type { PublishedDocument } from './document-store'
import type { SubmitOutcome } from './change-outcome'
import type { Health } from './status-listener'

/** A document change with a version number chosen by the operator. */
export type VersionedChange = {
  /** Version of the document after the change is applied. */
  readonly version: number
  /** Version that the change is based on; 0 for the first document. */
  readonly base: number
} & (
  | { readonly kind: 'replace'; readonly sections: Sections }
  | { readonly kind: 'amend'; readonly changed: Sections; readonly removed: RemovedSections }
)

export interface Gateway {
  readonly health: () => Health
  /**
   * Processes an announcement. If it says that the server is leaving, the promise resolves once control has committed
   * the departure; every node that can reach control learns of it within two seconds.
   */
  readonly announce: (server: Omit<Server, 'environment'>) => Promise<Result<void, Failure>>
  /** Returns the IP address of the node for later announcements; undefined if the server has to choose one itself. */
  readonly announcementHost: (server: Omit<Server, 'environment'>) => string | undefined
  /**
   * Records that the server left. `start` identifies the server process; it is undefined when the platform did not
   * specify one.
   */
  readonly depart: (server: ServerId, start: number | undefined) => Promise<Result<void, Failure>>
  /**
   * Orders that nothing is sent to the servers of a failure domain, or ends that. An order may be repeated. Outcome
   * `recorded`: control has committed the order, and the live entries have applied it or had 2 s to do so. Fails with
   * `request-invalid` for a malformed name and with `evacuation-limit`.
   */
  readonly evacuate: (domain: string, action: 'start' | 'end', source: string) => Promise<SubmitOutcome>
  readonly change: (change: VersionedChange, source: string) => Promise<SubmitOutcome>
  /** Returns the document in force, confirmed by a majority of control; undefined before the first document. */
  readonly readDocument: () => Promise<Result<PublishedDocument | undefined, Failure>>
}

export interface AdapterListener {
  /** IP address with port. */
  readonly address: string
  readonly app: Hono
}

/** Retry budget of a service for all entries together, as configured by the platform. */
export interface RetryAllowance {
  /** Retries allowed as a fraction of the calls. */
  readonly share: number
  /** Retries allowed in each window in addition to the fraction. */
  readonly extraRetries: number
  readonly windowMs: number
}

/** Rate at which all entries together may query one server for its load, as configured by the platform. */
export interface LoadQueryAllowance {
  readonly perServerPerSecond: number
}

/** Bound on the calls to a cold server in any second, `rate * overshoot + slack`, as configured by the platform. */
export interface ColdServerBound {
  readonly overshoot: number
  readonly slack: number
}

/** Bound on the use of removed keys, as configured by the platform. */
export interface KeyRevocation {
  /** Time in ms after the acknowledgement of a document from which no entry may accept a key that it removed. */
  readonly revokeMs: number
}

export interface Adapter {
  readonly dialect: Dialect
  readonly retries: RetryAllowance | undefined
  /** Undefined if servers cannot be queried for their load. */
  readonly loadQueries: LoadQueryAllowance | undefined
  /** Absent: 1.5 times the rate of the document and 8. */
  readonly coldServers?: ColdServerBound | undefined
  /** Undefined without strict revocation: entries accept the keys of the last document that they know. */
  readonly keyRevocation: KeyRevocation | undefined
  /** Tolerance on the quotas of organisations; without it entries have no reserve. */
  readonly quotas?: QuotaBounds | undefined
  /** Ms from the start of a planned stop until the platform kills the process; undefined if it waits for its end. */
  readonly killAfterMs: number | undefined
  readonly listeners: (gateway: Gateway) => readonly AdapterListener[]
}
