/**
 * Decides by the key of a request whether a call may run: when it arrives, and again right before it is sent, because a
 * call may wait in a queue until its key is taken away or the entry loses the right to accept keys.
 */
import { failure, type CodeName, type Failure, type OrganisationName } from '@bilberrystall/base'
import type { Document, Organisation, Route } from '@bilberrystall/document'
import { err, ok, type Result } from 'neverthrow'
import { authenticate } from './authentication'
import type { CallAdmission } from './call-admission'
import type { CallOptions } from './call-options'
import type { Dialect } from './dialect'

export interface KeyCheckOptions {
  /** Returns the document in force. */
  readonly document: () => Document | undefined
  readonly admission: Pick<CallAdmission, 'areKeysConfirmed'>
  readonly dialect: Pick<Dialect, 'keyScheme'>
}

/** An accepted call, with the document that it was accepted by. */
export type AcceptedCall = Pick<CallOptions, 'head' | 'route' | 'organisation' | 'document'>

export class KeyCheck {
  readonly #options: KeyCheckOptions

  constructor(options: KeyCheckOptions) {
    this.#options = options
  }

  /**
   * Returns the organisation of the caller, undefined on a public route if the key is unknown or cannot be confirmed.
   * Errors: `key-unknown`, `key-unconfirmed`.
   */
  identify(
    authorization: string | undefined,
    route: Route,
    document: Document,
  ): Result<Organisation | undefined, Failure> {
    const { admission, dialect } = this.#options
    return authenticate(authorization, route, document, dialect).andThen((organisation) => {
      if (organisation === undefined || admission.areKeysConfirmed()) return ok(organisation)
      return route.isPublic ? ok(undefined) : err(failure('keyUnconfirmed'))
    })
  }

  /** Returns why an accepted call may no longer be sent, by the document in force now; undefined if it may. */
  refusal(call: AcceptedCall): CodeName | undefined {
    if (call.organisation === undefined || call.route.isPublic) return undefined
    if (!this.#options.admission.areKeysConfirmed()) return 'keyUnconfirmed'
    const holder = this.#holder(call)
    if (holder === call.organisation.name) return undefined
    // The new organisation of the key is named to the server if the caller sends the request again.
    return holder === undefined ? 'keyUnknown' : 'keyUnconfirmed'
  }

  /** Returns the organisation that a request names to the server; none on a public route whose key no longer holds. */
  organisationToName(call: AcceptedCall): OrganisationName | undefined {
    const name = call.organisation?.name
    if (name === undefined || !call.route.isPublic) return name
    return this.#options.admission.areKeysConfirmed() && this.#holder(call) === name ? name : undefined
  }

  /** Returns the organisation that holds the key of the call now. */
  #holder({ head, route, organisation, document: accepting }: AcceptedCall): OrganisationName | undefined {
    const document = this.#options.document()
    if (document === undefined || document === accepting || !document.requiresKeys) return organisation?.name
    return authenticate(head.authorization, route, document, this.#options.dialect).unwrapOr(undefined)?.name
  }
}
