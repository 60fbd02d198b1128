/**
 * Reasons for which bytes that a server sent are not accepted as the response to a request, and the report of such a
 * case, from which one log line is written.
 */

export type ResponseRefusal =
  /** Bytes arrived while no request was in progress on the connection. */
  | { readonly kind: 'stray-bytes' }
  /** The bytes are no HTTP message. */
  | { readonly kind: 'malformed'; readonly detail: string }
  /** The head contains the start of a second message. */
  | { readonly kind: 'joined-heads' }
  /** A field that a response has at most once is repeated. */
  | { readonly kind: 'repeated-field'; readonly field: string }
  | { readonly kind: 'invalid-status'; readonly status: number }
  /** The response names another attempt, or none. */
  | { readonly kind: 'other-attempt'; readonly received: string | undefined }
  /** A refusal names no attempt, on a connection that was used before. */
  | { readonly kind: 'unnamed-refusal' }
  /** A successful response has no signature. */
  | { readonly kind: 'unsigned' }
  /** A successful response has a content encoding, which no caller requests. */
  | { readonly kind: 'encoded' }
  /** A body contains the start of a further message, and ends with its connection or before other bytes. */
  | { readonly kind: 'head-in-body' }

/** Destroys a connection because of what it received. */
export class RefusedBytes extends Error {
  readonly refusal: ResponseRefusal

  constructor(refusal: ResponseRefusal) {
    super(`the bytes of the server are no response to the request: ${refusal.kind}`)
    this.refusal = refusal
  }
}

export interface RefusedResponse {
  readonly refusal: ResponseRefusal
  /** Local port of the connection to the server. */
  readonly connection: number
  /** Number of requests that were sent on the connection, including the one in progress. */
  readonly requests: number
  /** Id of the attempt in progress; undefined if it has none, or if no request is in progress. */
  readonly attempt: string | undefined
}
