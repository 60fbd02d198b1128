/**
 * Documents that a node holds, with the floor of each environment: the highest revision seen anywhere. A revision below
 * the floor is refused, so a document never reverts. After a start the floor is empty, which is why a document counts
 * only once a majority of control has confirmed it as the newest.
 */
import { err, ok, type Result } from 'neverthrow'
import { failure, type Digest, type Environment, type Failure, type Revision } from '@bilberrystall/base'
import type { DocumentVersion } from '@bilberrystall/membership'

export interface HeldDocument {
  readonly environment: Environment
  readonly revision: Revision
  readonly digest: Digest
  readonly text: string
  /** Version chosen by the operator; 0 when the document carries none. */
  readonly version: number
}

type Listener = (document: HeldDocument) => void

interface Holding {
  floor: { readonly revision: Revision; readonly digest: Digest | undefined }
  document: HeldDocument | undefined
  /** Newest revision that a majority confirmed, and the monotonic time of that. */
  newest: { readonly revision: number; readonly at: number } | undefined
  /** Set once the held document was the newest confirmed one, and kept: a later document replaces it without a gap. */
  ready: boolean
  /** Monotonic time of the last confirmation that the held document is the newest. */
  confirmedAt: number
}

export class DocumentKeeper {
  readonly #holdings = new Map<Environment, Holding>()
  readonly #listeners = new Set<Listener>()

  /** Takes over a document. Errors: `revision-below-floor`. */
  offer(document: HeldDocument): Result<'newer' | 'known', Failure> {
    const holding = this.#holding(document.environment)
    const { floor } = holding
    if (document.revision < floor.revision) {
      return err(failure('revisionBelowFloor', `revision ${document.revision} is below ${floor.revision}`))
    }
    if (document.revision === floor.revision && floor.digest !== undefined && document.digest !== floor.digest) {
      return err(failure('revisionBelowFloor', `revision ${document.revision} has another digest than the one seen`))
    }
    holding.floor = { revision: document.revision, digest: document.digest }
    if (holding.document?.revision === document.revision) return ok('known')
    holding.document = document
    holding.confirmedAt = Number.NEGATIVE_INFINITY
    this.#settle(holding)
    if (holding.ready) this.#tell(document)
    return ok('newer')
  }

  /** Another node states a revision. Returns true when this node should fetch it. */
  saw(version: DocumentVersion): boolean {
    const holding = this.#holding(version.environment)
    if (version.revision > holding.floor.revision) {
      holding.floor = { revision: version.revision, digest: version.digest }
    }
    return (holding.document?.revision ?? 0) < holding.floor.revision
  }

  /** A majority confirmed, at the monotonic time `at` or later, that `revision` is the newest. */
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

  /** Whether the environment has a document that was confirmed as the newest since the start of the process. */
  isReady(environment: Environment): boolean {
    return this.#holdings.get(environment)?.ready ?? false
  }

  /** The document in force here. */
  inForce(environment: Environment): HeldDocument | undefined {
    const holding = this.#holdings.get(environment)
    return holding?.ready === true ? holding.document : undefined
  }

  /** Monotonic time of the last confirmation that the held document is the newest. */
  confirmedAt(environment: Environment): number {
    return this.#holdings.get(environment)?.confirmedAt ?? Number.NEGATIVE_INFINITY
  }

  floor(environment: Environment): number {
    return this.#holdings.get(environment)?.floor.revision ?? 0
  }

  /** Revisions in force here, to be announced to the other nodes. */
  versions(): DocumentVersion[] {
    return [...this.#holdings.keys()].flatMap((environment) => {
      const document = this.inForce(environment)
      return document === undefined ? [] : [{ environment, revision: document.revision, digest: document.digest }]
    })
  }

  /** Calls back with every document that comes into force; returns a function that ends it. */
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
