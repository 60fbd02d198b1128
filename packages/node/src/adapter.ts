/**
 * Where an adapter to an operator's platform meets the product. The adapter holds names and formats: it decodes what the
 * platform sends, calls the gateway and encodes the answer. It decides nothing.
 */
import type { Failure, ServerId } from '@bilberrystall/base'
import type { Sections, RemovedSections } from '@bilberrystall/document'
import type { Dialect } from '@bilberrystall/entry'
import type { Server } from '@bilberrystall/membership'
import type { Hono } from 'hono'
import type { Result } from 'neverthrow'
import type { HeldDocument } from './control-documents'
import type { SubmitOutcome } from './control-changes'
import type { Health } from './status-listener'

/** A change of the document whose version was chosen by the operator. */
export type NumberedChange = {
  /** Version of the document after the change. */
  readonly version: number
  /** Version that the change builds on, 0 for the first. */
  readonly base: number
} & (
  | { readonly kind: 'replace'; readonly sections: Sections }
  | { readonly kind: 'amend'; readonly changed: Sections; readonly removed: RemovedSections }
)

export interface Gateway {
  readonly health: () => Health
  /**
   * Takes an announcement. One that says that the server leaves is answered when it holds on every node: control has
   * accepted it, and every node that can reach control learns of it within two seconds.
   */
  readonly announce: (server: Omit<Server, 'environment'>) => Promise<Result<void, Failure>>
  /** The server left. `start` is undefined when the platform did not say which process of it. */
  readonly depart: (server: ServerId, start: number | undefined) => Promise<Result<void, Failure>>
  readonly change: (change: NumberedChange, source: string) => Promise<SubmitOutcome>
  /** The document in force, confirmed by a majority of control; undefined before the first. */
  readonly newest: () => Promise<Result<HeldDocument | undefined, Failure>>
}

export interface AdapterListener {
  /** IP address with port. */
  readonly address: string
  readonly app: Hono
}

/** Share of the calls of a service that all entries together may send a second time, as the platform states it. */
export interface RetryAllowance {
  readonly share: number
  /** Retries allowed in each window besides the share. */
  readonly spare: number
  readonly windowMs: number
}

/** Questions for its load that all entries together may ask one server, as the platform states it. */
export interface InquiryAllowance {
  readonly perServerPerSecond: number
}

export interface Adapter {
  readonly dialect: Dialect
  readonly retries: RetryAllowance | undefined
  /** Undefined where servers do not report their load. */
  readonly inquiries: InquiryAllowance | undefined
  readonly listeners: (gateway: Gateway) => readonly AdapterListener[]
}
