/** Replicas in memory whose disk and network take no time; counts the encoded messages between them. */
import { logIndex, nodeId, replicaId, seededRandom, term, type ReplicaId } from '@bilberrystall/base'
import { Replica, type Entry, type Input, type Message, type Output } from '@bilberrystall/consensus'
import { encodeMessage, type StreamIds } from '@bilberrystall/node/control-wire'
import { ReplicaMessageSchema } from '@bilberrystall/rpc'
import { toBinary } from '@bufbuild/protobuf'

const TICK_MS = 50
/** Envelope of a streamed message (5 bytes) and header of an HTTP/2 DATA frame (9 bytes). */
const FRAMING_BYTES = 14
const SNAPSHOT_BYTES = 1024
const ELECTION_TICKS = 1_000

export class ReplicaGroup {
  readonly leader: ReplicaId
  messages = 0
  bytes = 0
  readonly #replicas = new Map<ReplicaId, Replica>()
  readonly #streams = new Map<string, StreamIds>()
  readonly #queue: { readonly to: ReplicaId; readonly input: Input }[] = []
  #now = 0

  constructor(size: number) {
    const members = Array.from({ length: size }, (_, index) => {
      return { replica: replicaId(`vm-${index}/4f1d2c`), node: nodeId(`vm-${index}`), role: 'voter' as const }
    })
    const first: Entry = { kind: 'replica-set', index: logIndex(1), term: term(1), replicas: members }
    for (const [index, { replica, node }] of members.entries()) {
      const stored = { ballot: { term: term(1), votedFor: undefined }, entries: [first] }
      this.#replicas.set(replica, new Replica({ replica, node, random: seededRandom(index), now: 0, stored }))
    }
    this.leader = this.#elect()
  }

  get commit(): number {
    return this.#replicas.get(this.leader)?.status().commit ?? 0
  }

  /** Advances the time of all replicas in steps of one tick. */
  advanceTime(milliseconds: number): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += TICK_MS) {
      this.#now += TICK_MS
      for (const replica of this.#replicas.keys()) this.#step(replica, { kind: 'tick' })
      this.#deliverQueued()
    }
  }

  propose(proposal: number, command: Uint8Array): void {
    this.#step(this.leader, { kind: 'propose', proposal, command })
    this.#deliverQueued()
  }

  resetCounters(): void {
    this.messages = 0
    this.bytes = 0
  }

  #elect(): ReplicaId {
    for (let tick = 0; tick < ELECTION_TICKS; tick += 1) {
      this.advanceTime(TICK_MS)
      const leader = [...this.#replicas].find(([, replica]) => replica.status().role === 'leader')
      if (leader !== undefined) return leader[0]
    }
    throw new Error('the replicas elected no leader')
  }

  #step(to: ReplicaId, input: Input): void {
    for (const output of this.#replicas.get(to)?.step(input, this.#now) ?? []) this.#carryOut(to, output)
  }

  #carryOut(to: ReplicaId, output: Output): void {
    if (output.kind === 'persist') {
      this.#queue.push({ to, input: { kind: 'persisted', persist: output.persist } })
    } else if (output.kind === 'send') {
      this.#count(output.message)
      this.#queue.push({ to: output.message.to, input: { kind: 'message', message: output.message } })
    } else if (output.kind === 'take-snapshot') {
      const snapshot = { ...output.position, data: new Uint8Array(SNAPSHOT_BYTES) }
      this.#queue.push({ to, input: { kind: 'snapshot-taken', snapshot } })
    }
  }

  #deliverQueued(): void {
    // Steps append to the queue during the iteration.
    for (const { to, input } of this.#queue) this.#step(to, input)
    this.#queue.length = 0
  }

  #count(message: Message): void {
    const stream = `${message.from} ${message.to}`
    const ids = this.#streams.get(stream) ?? { from: '', to: '' }
    this.#streams.set(stream, ids)
    this.messages += 1
    this.bytes += FRAMING_BYTES + toBinary(ReplicaMessageSchema, encodeMessage(message, ids)).byteLength
  }
}
