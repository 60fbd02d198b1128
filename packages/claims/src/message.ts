/** Messages between claimants and holders. Times are durations in ms, so that they need no agreement of clocks. */
import type { AttemptId, IdempotencyKey, NodeId } from '@bilberrystall/base'

/** Longest response body that is kept for replays, in bytes. */
export const MAX_KEPT_BODY = 1_024

/** How the request that owned the key ended. */
export type Ending =
  | { readonly kind: 'response'; readonly status: number; readonly contentType?: string; readonly body?: Uint8Array }
  | { readonly kind: 'unknown' }

/** What every message says about the key. */
export interface KeyUse {
  readonly key: IdempotencyKey
  readonly attempt: AttemptId
  /** Digest of method, service, path and body length: a key belongs to one request. */
  readonly fingerprint: string
  /** The environment, whose document sets the retention. */
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
  /** Another attempt held the key past its run time and never reported an end. */
  | { readonly kind: 'abandoned'; readonly sameRequest: boolean }
  | { readonly kind: 'ended'; readonly sameRequest: boolean; readonly ending: Ending }
  /** The attempt was released before this claim arrived. */
  | { readonly kind: 'released' }
  /** The holder may have forgotten earlier claims on this key. */
  | { readonly kind: 'abstained' }
  | { readonly kind: 'expired' }
  | { readonly kind: 'full' }
  /** `complete` or `release` was recorded. */
  | { readonly kind: 'recorded' }
  /** Made by the transport: no reply; the request may have arrived. */
  | { readonly kind: 'unreachable' }

export interface AddressedRequest {
  readonly holder: NodeId
  readonly request: HolderRequest
}
