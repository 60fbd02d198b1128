/**
 * Origins of a directory, grouped into a fixed number of buckets, with a digest of each bucket. Two nodes whose digests
 * of a bucket match know the same changes of its origins, so they exchange only the ages of the heartbeats, as plain
 * numbers in the order of the origin ids. A bucket is compared origin by origin only if the digests differ, so the cost
 * of an exchange depends on what changed and hardly on the number of nodes.
 */
import type { NodeId } from '@bilberrystall/base'
import type { Origin } from './origin'

/** With a few hundred nodes a bucket has about a dozen origins, and the digests of all buckets fit in a packet. */
export const BUCKET_COUNT = 16
const HASH_SEEDS = [0x811c9dc5, 0x9747b28c] as const
const LANES_PER_BUCKET = HASH_SEEDS.length
const BYTES_PER_LANE = 4
const BYTES_PER_BUCKET = LANES_PER_BUCKET * BYTES_PER_LANE
const BYTES_PER_AGE = 2
const MAX_AGE_MS = 0xffff

/** What a node tells a peer of the origins that it knows. */
export interface DirectorySummary {
  /** Digests of all buckets. */
  readonly digests: Uint8Array
  /** Ages of the heartbeats by bucket, two bytes for each origin in ms, in the order of the origin ids. */
  readonly ages: readonly Uint8Array[]
}

export class OriginIndex {
  readonly #origins = new Map<NodeId, Origin>()
  /** Origins by bucket, sorted by id. */
  readonly #buckets: Origin[][] = Array.from({ length: BUCKET_COUNT }, () => [])

  get size(): number {
    return this.#origins.size
  }

  get(id: NodeId): Origin | undefined {
    return this.#origins.get(id)
  }

  values(): IterableIterator<Origin> {
    return this.#origins.values()
  }

  add(origin: Origin): void {
    this.delete(origin.id)
    this.#origins.set(origin.id, origin)
    const bucket = this.bucket(bucketOf(origin.id))
    const position = bucket.findIndex((other) => other.id > origin.id)
    bucket.splice(position < 0 ? bucket.length : position, 0, origin)
  }

  delete(id: NodeId): void {
    const origin = this.#origins.get(id)
    if (origin === undefined) return
    this.#origins.delete(id)
    const bucket = this.bucket(bucketOf(id))
    bucket.splice(bucket.indexOf(origin), 1)
  }

  bucket(number: number): Origin[] {
    return this.#buckets[number] ?? []
  }

  /** `transitMs` is the time until the peer reads the summary. */
  summary(now: number, transitMs: number): DirectorySummary {
    const digests = new Uint8Array(BUCKET_COUNT * BYTES_PER_BUCKET)
    const view = new DataView(digests.buffer)
    this.#buckets.forEach((bucket, number) => {
      for (let lane = 0; lane < LANES_PER_BUCKET; lane += 1) {
        view.setUint32(number * BYTES_PER_BUCKET + lane * BYTES_PER_LANE, digestOf(bucket, lane))
      }
    })
    return { digests, ages: this.#buckets.map((bucket) => encodeAges(bucket, now + transitMs)) }
  }

  /** Returns the numbers of the buckets whose digests differ from the peer's. */
  differingBuckets(own: DirectorySummary, peer: Uint8Array): readonly number[] {
    const differing: number[] = []
    for (let number = 0; number < BUCKET_COUNT; number += 1) {
      const start = number * BYTES_PER_BUCKET
      const end = start + BYTES_PER_BUCKET
      if (Buffer.compare(own.digests.subarray(start, end), peer.subarray(start, end)) !== 0) differing.push(number)
    }
    return differing
  }

  /** Calls `onAge` for each origin of a bucket with its age. Does nothing if the number of ages does not match. */
  forEachAge(number: number, ages: Uint8Array, onAge: (origin: Origin, ageMs: number) => void): void {
    const bucket = this.bucket(number)
    if (ages.byteLength !== bucket.length * BYTES_PER_AGE) return
    const view = new DataView(ages.buffer, ages.byteOffset, ages.byteLength)
    bucket.forEach((origin, position) => {
      onAge(origin, view.getUint16(position * BYTES_PER_AGE))
    })
  }
}

export function bucketOf(id: NodeId): number {
  return hashText(id, HASH_SEEDS[0]) % BUCKET_COUNT
}

function encodeAges(bucket: readonly Origin[], now: number): Uint8Array {
  const ages = new Uint8Array(bucket.length * BYTES_PER_AGE)
  let offset = 0
  for (const { lastHeartbeatAt } of bucket) {
    const ageMs = Math.min(MAX_AGE_MS, Math.max(0, Math.round(now - lastHeartbeatAt)))
    ages[offset] = ageMs >>> 8
    ages[offset + 1] = ageMs & 0xff
    offset += BYTES_PER_AGE
  }
  return ages
}

function digestOf(bucket: readonly Origin[], lane: number): number {
  let digest = 0
  // A sum, so that the digest of a bucket follows from those of its origins, which rarely change.
  for (const origin of bucket) digest = (digest + (originDigest(origin)[lane] ?? 0)) >>> 0
  return digest
}

function originDigest(origin: Origin): readonly number[] {
  const { id, incarnation, counter, digest } = origin
  if (digest?.incarnation === incarnation && digest.counter === counter) return digest.lanes
  const lanes = HASH_SEEDS.map((seed) => {
    const parts = [hashText(id, seed), incarnation >>> 0, Math.floor(incarnation / 2 ** 32), counter >>> 0]
    return parts.reduce(mix, seed) >>> 0
  })
  origin.digest = { incarnation, counter, lanes }
  return lanes
}

/** FNV-1a. */
function hashText(text: string, seed: number): number {
  let hash = seed
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  return hash >>> 0
}

/** One round of MurmurHash3. */
function mix(hash: number, value: number): number {
  let scrambled = Math.imul(value, 0xcc9e2d51)
  scrambled = (scrambled << 15) | (scrambled >>> 17)
  const mixed = hash ^ Math.imul(scrambled, 0x1b873593)
  return (Math.imul((mixed << 13) | (mixed >>> 19), 5) + 0xe6546b64) | 0
}
