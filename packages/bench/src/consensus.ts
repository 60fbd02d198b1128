/**
 * Measures the replicated log in memory: entries per second through three replicas, cost of an idle heartbeat, and
 * messages and bytes per second at idle. Arguments: the seed and the number of entries. Disk and network take no time,
 * so the figures are the cost of the state machine alone.
 */
import { create, toBinary } from '@bufbuild/protobuf'
import { logIndex, nodeId, replicaId, seededRandom, term, type ReplicaId } from '@bilberrystall/base'
import { Replica, type Entry, type Input, type Message, type Output } from '@bilberrystall/consensus'
import { ReplicaMessageSchema } from '@bilberrystall/rpc'

const COMMAND_BYTES = 100
const TICK_MS = 50
/** Envelope of a streamed message (5 bytes) and header of an HTTP/2 DATA frame (9 bytes). */
const FRAMING_BYTES = 14
const IDLE_SECONDS = 600

const [seedText = '1', entriesText = '200000'] = process.argv.slice(2)
const seed = Number(seedText)
const totalEntries = Number(entriesText)

class ReplicaGroup {
  readonly replicas = new Map<ReplicaId, Replica>()
  messages = 0
  bytes = 0
  now = 0
  countsBytes = false
  readonly #queue: { readonly to: ReplicaId; readonly input: Input }[] = []

  constructor(size: number) {
    const members = Array.from({ length: size }, (_, index) => {
      return { replica: replicaId(`vm-${index}/4f1d2c`), node: nodeId(`vm-${index}`), role: 'voter' as const }
    })
    const first: Entry = { kind: 'replica-set', index: logIndex(1), term: term(1), replicas: members }
    members.forEach(({ replica, node }, index) => {
      const stored = { ballot: { term: term(1), votedFor: undefined }, entries: [first] }
      this.replicas.set(replica, new Replica({ replica, node, random: seededRandom(seed + index), now: 0, stored }))
    })
  }

  elect(): ReplicaId {
    for (;;) {
      this.tick()
      const leader = [...this.replicas].find(([, replica]) => replica.status().role === 'leader')
      if (leader !== undefined) return leader[0]
    }
  }

  tick(): void {
    this.now += TICK_MS
    for (const replica of this.replicas.keys()) this.step(replica, { kind: 'tick' })
    this.deliverQueued()
  }

  step(to: ReplicaId, input: Input): void {
    const replica = this.replicas.get(to)
    for (const output of replica?.step(input, this.now) ?? []) this.#carryOut(to, output)
  }

  #carryOut(to: ReplicaId, output: Output): void {
    if (output.kind === 'persist') {
      this.#queue.push({ to, input: { kind: 'persisted', persist: output.persist } })
    } else if (output.kind === 'send') {
      this.#count(output.message)
      this.#queue.push({ to: output.message.to, input: { kind: 'message', message: output.message } })
    } else if (output.kind === 'take-snapshot') {
      const snapshot = { ...output.position, data: new Uint8Array(1024) }
      this.#queue.push({ to, input: { kind: 'snapshot-taken', snapshot } })
    }
  }

  deliverQueued(): void {
    // Steps append to the queue during the iteration.
    for (const { to, input } of this.#queue) this.step(to, input)
    this.#queue.length = 0
  }

  #count(message: Message): void {
    this.messages += 1
    if (this.countsBytes) this.bytes += FRAMING_BYTES + encodedSize(message)
  }
}

/** Encoded size of the two kinds of message that occur at idle. Ids are empty because a stream sends them only once. */
function encodedSize(message: Message): number {
  const roundFields = {
    round: BigInt('round' in message ? message.round : 0),
    sentAt: 'sentAt' in message ? message.sentAt : 0,
  }
  const base = { from: '', to: '', term: BigInt(message.term) }
  if (message.kind === 'append') {
    const position = { previousIndex: BigInt(message.previousIndex), previousTerm: BigInt(message.previousTerm) }
    const value = { ...roundFields, ...position, entries: [], commit: BigInt(message.commit) }
    return toBinary(ReplicaMessageSchema, create(ReplicaMessageSchema, { ...base, body: { case: 'append', value } }))
      .byteLength
  }
  if (message.kind !== 'append-response') throw new Error(`unexpected message ${message.kind} at idle`)
  const value = { ...roundFields, accepted: message.accepted, match: BigInt(message.match), hint: BigInt(message.hint) }
  const body = { case: 'appendResponse' as const, value }
  return toBinary(ReplicaMessageSchema, create(ReplicaMessageSchema, { ...base, body })).byteLength
}

function measureThroughput(inFlight: number): void {
  const group = new ReplicaGroup(3)
  const leader = group.elect()
  const command = new Uint8Array(COMMAND_BYTES)
  const proposalCount = inFlight === 1 ? totalEntries / 4 : totalEntries
  const start = performance.now()
  for (let proposal = 0; proposal < proposalCount; proposal += inFlight) {
    for (let offset = 0; offset < inFlight; offset += 1) group.step(leader, { kind: 'propose', proposal, command })
    group.deliverQueued()
    group.now += 1
  }
  const seconds = (performance.now() - start) / 1_000
  const committed = group.replicas.get(leader)?.status().commit ?? 0
  console.log(`entries in flight ${inFlight}: ${committed} committed, ${Math.round(committed / seconds)} per second`)
}

function measureIdle(size: number): void {
  const group = new ReplicaGroup(size)
  const leader = group.elect()
  for (let warmUpTick = 0; warmUpTick < 20_000; warmUpTick += 1) group.tick()
  group.messages = 0
  const ticks = (IDLE_SECONDS * 1_000) / TICK_MS
  const start = performance.now()
  for (let tick = 0; tick < ticks; tick += 1) group.tick()
  const microseconds = ((performance.now() - start) * 1_000) / (IDLE_SECONDS * 10)
  const messages = group.messages / IDLE_SECONDS
  group.countsBytes = true
  for (let tick = 0; tick < ticks; tick += 1) group.tick()
  const bytes = group.bytes / IDLE_SECONDS
  const status = group.replicas.get(leader)?.status()
  console.log(
    `idle with ${size} replicas: ${messages.toFixed(1)} messages and ${bytes.toFixed(0)} bytes per second in all, ` +
      `${(bytes / 1024).toFixed(2)} KB/s at the leader (both directions), ` +
      `${microseconds.toFixed(1)} us per heartbeat round of the whole group, leader ${status?.role ?? 'lost'}`,
  )
}

/** Measures the tick that sends a heartbeat at the leader of three; the responses of the followers are not included. */
function measureLeaderHeartbeat(): void {
  const group = new ReplicaGroup(3)
  const leader = group.elect()
  const replica = group.replicas.get(leader)
  if (replica === undefined) return
  const rounds = 200_000
  let tickTime = 0
  for (let round = 0; round < rounds; round += 1) {
    group.now += 100
    const start = performance.now()
    const outputs = replica.step({ kind: 'tick' }, group.now)
    tickTime += performance.now() - start
    for (const output of outputs)
      if (output.kind === 'send') group.step(output.message.to, { kind: 'message', message: output.message })
    group.deliverQueued()
  }
  console.log(`heartbeat tick at the leader of 3: ${((tickTime * 1_000) / rounds).toFixed(2)} us`)
}

console.log(`seed ${seed}, Node ${process.version}`)
measureThroughput(1)
measureThroughput(100)
measureThroughput(1_000)
measureLeaderHeartbeat()
measureIdle(3)
measureIdle(5)
