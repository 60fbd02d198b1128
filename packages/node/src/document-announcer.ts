/**
 * Announces which documents are in force on this node. In a large fleet an announcement changes a record that all nodes
 * exchange, and a change of the document is announced by each of them, so a series of changes is announced together.
 */
import type { DocumentStore } from './document-store'
import type { NodeContext } from './node-context'

/** Fleets up to this number of nodes announce each change. */
const MAX_IMMEDIATE_NODES = 24
/** Shortest interval between the announcements of a node of a larger fleet. */
const ANNOUNCEMENT_INTERVAL_MS = 2_000

export interface DocumentAnnouncerOptions {
  readonly announce: () => void
  readonly fleetSize: () => number
  /** Monotonic milliseconds. */
  readonly now: () => number
}

export class DocumentAnnouncer {
  readonly #options: DocumentAnnouncerOptions
  #announcedAt = Number.NEGATIVE_INFINITY
  #timer: NodeJS.Timeout | undefined

  constructor(options: DocumentAnnouncerOptions) {
    this.#options = options
  }

  /** Called when a document came into force. */
  changed(): void {
    if (this.#timer !== undefined) return
    const { fleetSize, now } = this.#options
    const intervalMs = fleetSize() <= MAX_IMMEDIATE_NODES ? 0 : ANNOUNCEMENT_INTERVAL_MS
    const waitMs = this.#announcedAt + intervalMs - now()
    if (waitMs <= 0) this.#announce()
    else {
      this.#timer = setTimeout(() => {
        this.#announce()
      }, waitMs).unref()
    }
  }

  #announce(): void {
    this.#timer = undefined
    this.#announcedAt = this.#options.now()
    this.#options.announce()
  }
}

/** Announces the documents of the store from now on. */
export function announceDocuments(
  documentStore: DocumentStore,
  { directory, announce, now }: Pick<NodeContext, 'directory' | 'announce' | 'now'>,
): void {
  const announcer = new DocumentAnnouncer({
    announce: () => {
      announce({ documents: documentStore.versions() })
    },
    fleetSize: () => directory.nodes.size,
    now,
  })
  documentStore.subscribe(() => {
    announcer.changed()
  })
}
