/** Drives one replica step by step: the test acts as the other replicas, the clock and the disk. */
import { logIndex, nodeId, replicaId, seededRandom, term, type LogIndex, type Term } from '@bilberrystall/base'
import {
  Replica,
  type AppendMessage,
  type Entry,
  type Input,
  type Limits,
  type Message,
  type Output,
  type ReplicaInfo,
  type ReplicaOptions,
  type ReplicaRole,
  type StoredState,
} from '../../src/index'

export const SELF = replicaId('a')
export const B = replicaId('b')
export const C = replicaId('c')

export function info(name: string, role: ReplicaRole = 'voter'): ReplicaInfo {
  return { replica: replicaId(name), node: nodeId(`node-${name}`), role }
}

export function setEntry(index: number, entryTerm: number, replicas: readonly ReplicaInfo[]): Entry {
  return { kind: 'replica-set', index: logIndex(index), term: term(entryTerm), replicas }
}

export function noOp(index: number, entryTerm: number): Entry {
  return { kind: 'no-op', index: logIndex(index), term: term(entryTerm) }
}

/** Stored state of a member of a cluster whose first log entry is the given replica set. */
export function storedOf(replicas: readonly ReplicaInfo[], ...more: Entry[]): StoredState {
  const entries = [setEntry(1, 1, replicas), ...more]
  return { ballot: { term: entries.at(-1)?.term ?? term(1), votedFor: undefined }, entries }
}

export interface DriverOptions {
  readonly stored?: StoredState
  readonly bootstrap?: boolean
  readonly limits?: Partial<Limits>
  readonly seed?: number
}

type Body<Kind extends Message['kind']> = Omit<Extract<Message, { kind: Kind }>, 'kind' | 'to'>

export class Driver {
  readonly replica: Replica
  now = 10_000
  /** Persist outputs that the test has not reported as synced yet. */
  unsyncedPersists: number[] = []

  constructor(options: DriverOptions = {}) {
    const { seed = 1, ...rest } = options
    const base: ReplicaOptions = { replica: SELF, node: nodeId('node-a'), random: seededRandom(seed), now: this.now }
    this.replica = new Replica({ ...base, ...rest })
  }

  /** Passes one input without reporting writes as synced. */
  step(input: Input): Output[] {
    const outputs = this.replica.step(input, this.now)
    for (const output of outputs) if (output.kind === 'persist') this.unsyncedPersists.push(output.persist)
    return outputs
  }

  /** Passes one input and reports all resulting writes as synced. */
  run(input: Input): Output[] {
    return [...this.step(input), ...this.sync()]
  }

  sync(): Output[] {
    const outputs: Output[] = []
    for (let persist = this.unsyncedPersists.shift(); persist !== undefined; persist = this.unsyncedPersists.shift()) {
      outputs.push(...this.step({ kind: 'persisted', persist }))
    }
    return outputs
  }

  tick(after: number): Output[] {
    this.now += after
    return this.run({ kind: 'tick' })
  }

  receive<Kind extends Message['kind']>(kind: Kind, body: Body<Kind>): Output[] {
    return this.run(this.input(kind, body))
  }

  input<Kind extends Message['kind']>(kind: Kind, body: Body<Kind>): Input {
    return { kind: 'message', message: { kind, to: SELF, ...body } as unknown as Message }
  }

  append(fields: Partial<AppendMessage> & { readonly term: Term }): Input {
    const zero = { previousIndex: logIndex(0), previousTerm: term(0), commit: logIndex(0) }
    return this.input('append', { from: B, entries: [], round: 0, sentAt: 0, ...zero, ...fields })
  }

  /** Makes the replica win an election. The other voters must be b and c, or one of them. */
  becomeLeader(): void {
    this.tick(1_300)
    const status = this.replica.status()
    this.receive('pre-vote-response', { from: B, term: term(status.term + 1), granted: true })
    this.receive('vote-response', { from: B, term: term(status.term + 1), granted: true })
  }

  /** Delivers an acknowledgement by another replica of all entries up to `match`, in response to a message sent now. */
  acknowledge(from: typeof SELF, match: number, round = 0): Output[] {
    const position: LogIndex = logIndex(match)
    const current = this.replica.status().term
    const body = { from, term: current, accepted: true, match: position, hint: position, round, sentAt: this.now }
    return this.receive('append-response', body)
  }
}

export function messagesOf<Kind extends Message['kind']>(
  outputs: readonly Output[],
  kind: Kind,
): readonly Extract<Message, { kind: Kind }>[] {
  return outputs.flatMap((output) =>
    output.kind === 'send' && output.message.kind === kind ? [output.message as Extract<Message, { kind: Kind }>] : [],
  )
}
