/**
 * In-memory store of the documents of a node. Each environment has a floor: the highest revision seen on any node. A
 * revision below the floor is rejected, so a document never reverts. The floor is lost on restart, so a document is
 * used only after a majority of control has confirmed it as the newest.
 */
import { err, ok, type Result } from 'neverthrow'
import { failure, type Digest, type Environment, type Failure, type Revision } from '@bilberrystall/base'
import type { DocumentVersion } from '@bilberrystall/membership'

export interface PublishedDocument {
  readonly environment: Environment
  readonly revision: Revision
  readonly digest: Digest
  readonly text: string
  /** Version chosen by the operator; 0 if the document has none. */
  readonly version: number
  /** How the document reached this node: from its own replica, from another replica or from any other node. */
  readonly source: DocumentSource
}

export type DocumentSource = 'log' | 'replica' | 'node'

type DocumentListener = (document: PublishedDocument) => void

interface EnvironmentState {
  floor: { readonly revision: Revision; readonly digest: Digest | undefined }
  document: PublishedDocument | undefined
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

export class DocumentStore {
  readonly #states = new Map<Environment, EnvironmentState>()
  readonly #listeners = new Set<DocumentListener>()

  /** Stores a document unless it is outdated. Errors: `revision-below-floor`. */
  offer(document: PublishedDocument): Result<'newer' | 'known', Failure> {
    const state = this.#stateOf(document.environment)
    const { floor } = state
    if (document.revision < floor.revision) {
      return err(
        failure(
          'revisionBelowFloor',
          `revision ${document.revision} is below the highest known revision ${floor.revision}`,
        ),
      )
    }
    if (document.revision === floor.revision && floor.digest !== undefined && document.digest !== floor.digest) {
      return err(
        failure('revisionBelowFloor', `the digest of revision ${document.revision} differs from the known one`),
      )
    }
    state.floor = { revision: document.revision, digest: document.digest }
    if (state.document?.revision === document.revision) return ok('known')
    state.document = document
    state.confirmedAt = Number.NEGATIVE_INFINITY
    this.#updateReadiness(state)
    if (state.ready) this.#notifyListeners(document)
    return ok('newer')
  }

  /** Records a revision announced by another node. Returns true if this node should fetch it. */
  observeVersion(version: DocumentVersion): boolean {
    const state = this.#stateOf(version.environment)
    if (version.revision > state.floor.revision) {
      state.floor = { revision: version.revision, digest: version.digest }
    }
    return this.isBehind(version.environment)
  }

  /** Whether another node has a newer revision than this one. */
  isBehind(environment: Environment): boolean {
    const { document, floor } = this.#stateOf(environment)
    return (document?.revision ?? 0) < floor.revision
  }

  /** Records that a majority confirmed `revision` as the newest, at the monotonic time `at` or later. */
  confirm(environment: Environment, revision: Revision, at: number): void {
    const state = this.#stateOf(environment)
    if (revision > state.floor.revision) state.floor = { revision, digest: undefined }
    const { newest } = state
    if (newest !== undefined && revision < newest.revision) return
    state.newest = { revision, at: revision === newest?.revision ? Math.max(newest.at, at) : at }
    const wasReady = state.ready
    this.#updateReadiness(state)
    if (!wasReady && state.ready && state.document !== undefined) this.#notifyListeners(state.document)
  }

  /** Whether a document of the environment was confirmed as the newest since the start of the process. */
  isReady(environment: Environment): boolean {
    return this.#states.get(environment)?.ready ?? false
  }

  /** Returns the document in force on this node. */
  inForce(environment: Environment): PublishedDocument | undefined {
    const state = this.#states.get(environment)
    return state?.ready === true ? state.document : undefined
  }

  /** Monotonic time of the last confirmation that the stored document is the newest. */
  confirmedAt(environment: Environment): number {
    return this.#states.get(environment)?.confirmedAt ?? Number.NEGATIVE_INFINITY
  }

  floor(environment: Environment): number {
    return this.#states.get(environment)?.floor.revision ?? 0
  }

  /** Returns the revisions in force on this node, which it announces to the other nodes. */
  versions(): DocumentVersion[] {
    return [...this.#states.keys()].flatMap((environment) => {
      const document = this.inForce(environment)
      return document === undefined ? [] : [{ environment, revision: document.revision, digest: document.digest }]
    })
  }

  /** Calls `listener` with every document that comes into force; returns a function to unsubscribe. */
  subscribe(listener: DocumentListener): () => void {
    this.#listeners.add(listener)
    return () => this.#listeners.delete(listener)
  }

  #stateOf(environment: Environment): EnvironmentState {
    const known = this.#states.get(environment)
    if (known !== undefined) return known
    const state: EnvironmentState = {
      floor: { revision: 0 as Revision, digest: undefined },
      document: undefined,
      newest: undefined,
      ready: false,
      confirmedAt: Number.NEGATIVE_INFINITY,
    }
    this.#states.set(environment, state)
    return state
  }

  #updateReadiness(state: EnvironmentState): void {
    const { document, newest } = state
    if (document === undefined || newest === undefined || document.revision < newest.revision) return
    state.ready = true
    state.confirmedAt = Math.max(state.confirmedAt, newest.at)
  }

  #notifyListeners(document: PublishedDocument): void {
    for (const listener of [...this.#listeners]) listener(document)
  }
}
