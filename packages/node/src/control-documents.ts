/**
 * In-memory store of the documents of a node. Each environment has a floor: the highest revision seen on any node. A
 * revision below the floor is rejected, so a document never reverts. The floor is lost on restart, so a document is
 * used only after a majority of control has confirmed it as the newest.
 */
import { err, ok, type Result } from 'neverthrow'
import { failure, type Digest, type Environment, type Failure, type Revision } from '@bilberrystall/base'
import type { DocumentVersion } from '@bilberrystall/membership'

export interface HeldDocument {
  readonly environment: Environment
  readonly revision: Revision
  readonly digest: Digest
  readonly text: string
  /** Version chosen by the operator; 0 if the document has none. */
  readonly version: number
}

type Listener = (document: HeldDocument) => void

interface Holding {
  floor: { readonly revision: Revision; readonly digest: Digest | undefined }
  document: HeldDocument | undefined
  /** Newest revision confirmed by a majority, and the monotonic time of the confirmation. */
  newest: { readonly revision: number; readonly at: number } | undefined
  /**
   * Set when the stored document was confirmed as the newest. Never reset: the document stays in force until a newer
   * one replaces it.
   */
  ready: boolean
  /** Monotonic time of the last confirmation that the stored document is the newest. */
  confirmedAt: number
}

export class DocumentKeeper {
  readonly #holdings = new Map<Environment, Holding>()
  readonly #listeners = new Set<Listener>()

  /** Stores a document unless it is outdated. Errors: `revision-below-floor`. */
  offer(document: HeldDocument): Result<'newer' | 'known', Failure> {
    const holding = this.#holding(document.environment)
    const { floor } = holding
    if (document.revision < floor.revision) {
      return err(failure('revisionBelowFloor', `revision ${document.revision} is below the highest known revision ${floor.revision}`))
    }
    if (document.revision === floor.revision && floor.digest !== undefined && document.digest !== floor.digest) {
      return err(failure('revisionBelowFloor', `the digest of revision ${document.revision} differs from the known one`))
    }
    holding.floor = { revision: document.revision, digest: document.digest }
    if (holding.document?.revision === document.revision) return ok('known')
    holding.document = document
    holding.confirmedAt = Number.NEGATIVE_INFINITY
    this.#settle(holding)
    if (holding.ready) this.#tell(document)
    return ok('newer')
  }

  /** Records a revision announced by another node. Returns true if this node should fetch it. */
  saw(version: DocumentVersion): boolean {
    const holding = this.#holding(version.environment)
    if (version.revision > holding.floor.revision) {
      holding.floor = { revision: version.revision, digest: version.digest }
    }
    return (holding.document?.revision ?? 0) < holding.floor.revision
  }

  /** Records that a majority confirmed `revision` as the newest, at the monotonic time `at` or later. */
  confirm(environment: Environment, revision: Revision, at: number): void {
    const holding = this.#holding(environment)
    if (revision > holding.floor.revision) holding.floor = { revision, digest: undefined }
    const { newest } = holding
    if (newest !== undefined && revision < newest.revision) return
    holding.newest = { revision, at: revision === newest?.revision ? Math.max(newest.at, at) : at }
    const wasReady = holding.ready
    this.#settle(holding)
    if (!wasReady && holding.ready && holding.document !== undefined) this.#tell(holding.document)
  }

  /** Whether a document of the environment was confirmed as the newest since the start of the process. */
  isReady(environment: Environment): boolean {
    return this.#holdings.get(environment)?.ready ?? false
  }

  /** Returns the document in force on this node. */
  inForce(environment: Environment): HeldDocument | undefined {
    const holding = this.#holdings.get(environment)
    return holding?.ready === true ? holding.document : undefined
  }

  /** Monotonic time of the last confirmation that the stored document is the newest. */
  confirmedAt(environment: Environment): number {
    return this.#holdings.get(environment)?.confirmedAt ?? Number.NEGATIVE_INFINITY
  }

  floor(environment: Environment): number {
    return this.#holdings.get(environment)?.floor.revision ?? 0
  }

  /** Returns the revisions in force on this node, which it announces to the other nodes. */
  versions(): DocumentVersion[] {
    return [...this.#holdings.keys()].flatMap((environment) => {
      const document = this.inForce(environment)
      return document === undefined ? [] : [{ environment, revision: document.revision, digest: document.digest }]
    })
  }

  /** Calls `listener` with every document that comes into force; returns a function to unsubscribe. */
  subscribe(listener: Listener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  #holding(environment: Environment): Holding {
    const known = this.#holdings.get(environment)
    if (known !== undefined) return known
    const holding: Holding = {
      floor: { revision: 0 as Revision, digest: undefined },
      document: undefined,
      newest: undefined,
      ready: false,
      confirmedAt: Number.NEGATIVE_INFINITY,
    }
    this.#holdings.set(environment, holding)
    return holding
  }

  #settle(holding: Holding): void {
    const { document, newest } = holding
    if (document === undefined || newest === undefined || document.revision < newest.revision) return
    holding.ready = true
    holding.confirmedAt = Math.max(holding.confirmedAt, newest.at)
  }

  #tell(document: HeldDocument): void {
    for (const listener of [...this.#listeners]) listener(document)
  }
}
