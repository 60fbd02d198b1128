/** Messages between claimants and holders. Times are durations in ms, so that clocks need not agree. */
import type { AttemptId, IdempotencyKey, NodeId } from '@bilberrystall/base'

/** Longest response body in bytes that is stored for replay. */
export const MAX_STORED_BODY_BYTES = 1_024

/** Result of the request that used the key. */
export type Ending =
  | { readonly kind: 'response'; readonly status: number; readonly contentType?: string; readonly body?: Uint8Array }
  | { readonly kind: 'unknown' }

/** Data about the key and the attempt that every request carries. */
export interface KeyUse {
  readonly key: IdempotencyKey
  readonly attempt: AttemptId
  /** Digest of method, service, path and body length, because a key belongs to one request. */
  readonly fingerprint: string
  /** Environment whose document sets the retention. */
  readonly scope: string
  readonly retentionMs: number
}

export type HolderRequest =
  /** `runMs`: time after which the claimant no longer works on the request. */
  | { readonly kind: 'claim'; readonly use: KeyUse; readonly runMs: number }
  | { readonly kind: 'complete'; readonly use: KeyUse; readonly ending: Ending }
  | { readonly kind: 'release'; readonly use: KeyUse }

export type HolderReply =
  | { readonly kind: 'granted' }
  /** Another attempt holds the key and may be running. */
  | { readonly kind: 'held'; readonly sameRequest: boolean }
  /** Another attempt held the key beyond its run time and has not reported an ending. */
  | { readonly kind: 'abandoned'; readonly sameRequest: boolean }
  | { readonly kind: 'ended'; readonly sameRequest: boolean; readonly ending: Ending }
  /** The attempt was released before this claim arrived. */
  | { readonly kind: 'released' }
  /** The holder does not vote, because it may have lost earlier claims on this key. */
  | { readonly kind: 'abstained' }
  | { readonly kind: 'expired' }
  | { readonly kind: 'full' }
  /** `complete` or `release` was recorded. */
  | { readonly kind: 'recorded' }
  /** Created by the transport if there is no reply; the request may have arrived. */
  | { readonly kind: 'unreachable' }

export interface AddressedRequest {
  readonly holder: NodeId
  readonly request: HolderRequest
}
