/** Runs a generated schedule of claims on one key over a network that loses, duplicates and reorders messages. */
import { attemptId, failureDomain, nodeId, type NodeId } from '@bilberrystall/base'
import fc from 'fast-check'
import {
  acceptKey,
  chooseHolders,
  Claimant,
  createKey,
  ClaimTable,
  parseKey,
  rosterAt,
  type AddressedRequest,
  type HolderReply,
  type HolderRequest,
  type KeyUse,
  type RosterEpoch,
} from '../src/index'

const START = 1_800_000_000_000
const NODES = 8
const HOUR_MS = 3_600_000
/** Time between the proposal of an epoch and its start. */
const EPOCH_NOTICE_MS = 90_000

export type Action =
  /** `rosterAgeMs`: time since the node last read the roster. */
  | { readonly kind: 'attempt'; readonly node: number; readonly rosterAgeMs: number }
  | { readonly kind: 'deliver' | 'repeat' | 'lose'; readonly pick: number }
  | { readonly kind: 'deliver-all'; readonly pick: number }
  | { readonly kind: 'advance'; readonly ms: number }
  /** One bit per node, because a failing rack or failure domain restarts several at once. */
  | { readonly kind: 'restart'; readonly nodes: number }
  | { readonly kind: 'crash'; readonly pick: number }
  | { readonly kind: 'skew'; readonly node: number; readonly ms: number }
  | { readonly kind: 'finish'; readonly pick: number; readonly ending: 'not-run' | 'response' | 'unknown' }

export interface Plan {
  readonly keyLeadMs: number
  readonly changeInMs: number
  readonly retentionMs: number
  readonly actions: readonly Action[]
}

const pick = fc.nat(1_000)
const node = fc.nat(NODES - 1)
const actions: fc.WeightedArbitrary<Action>[] = [
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('attempt'), node, rosterAgeMs: fc.nat(120_000) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constantFrom('deliver', 'repeat', 'lose'), pick }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('deliver-all'), pick }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('advance'), ms: fc.constantFrom(60, 450, 5_000, 32_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart'), nodes: fc.nat(2 ** NODES - 1) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash'), pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('skew'), node, ms: fc.nat(1_000) }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('finish'),
      pick,
      ending: fc.constantFrom('not-run', 'response', 'unknown'),
    }),
  },
]

export const plans: fc.Arbitrary<Plan> = fc.record({
  keyLeadMs: fc.integer({ min: -10_000, max: 31_000 }),
  changeInMs: fc.integer({ min: -5_000, max: 90_000 }),
  retentionMs: fc.constantFrom(60_000, HOUR_MS),
  actions: fc.array(fc.oneof(...actions), { minLength: 4, maxLength: 60 }),
})

/** The parts into which tests inject faults. */
export interface Parts {
  readonly table: (startedAt: number) => ClaimTable
  /** Returns the time whose roster determines the holders. */
  readonly rosterTime: (keyTime: number, now: number) => number
  /** Largest age in ms of a roster with which an entry accepts keyed calls. */
  readonly rosterValidMs: number
}

export const correctParts: Parts = {
  table: (startedAt) => new ClaimTable({ startedAt }),
  rosterTime: (keyTime) => keyTime,
  rosterValidMs: 50_000,
}

type Message =
  | { readonly kind: 'request'; readonly attempt: number; readonly addressed: AddressedRequest }
  | {
      readonly kind: 'reply'
      readonly attempt: number
      readonly holder: NodeId
      readonly to: HolderRequest['kind']
      readonly reply: HolderReply
    }

interface Attempt {
  readonly node: number
  readonly claimant: Claimant
  state: 'claiming' | 'running' | 'ran' | 'not-run' | 'crashed'
}

export class Schedule {
  readonly #parts: Parts
  readonly #plan: Plan
  readonly #key
  readonly #history: readonly RosterEpoch[]
  readonly #offsets = new Array<number>(NODES).fill(0)
  readonly #tables: ClaimTable[]
  readonly #attempts: Attempt[] = []
  #network: Message[] = []
  #time = START
  #restarted = false
  /** Whether two attempts were permitted to send. */
  violated = false

  constructor(plan: Plan, parts: Parts) {
    this.#plan = plan
    this.#parts = parts
    this.#key = parseKey(createKey(START + plan.keyLeadMs, new Uint8Array(10)))._unsafeUnwrap()
    this.#history = [epoch(1, START - HOUR_MS, 0, 5), epoch(2, START + plan.changeInMs, 3, NODES)]
    this.#tables = this.#offsets.map(() => parts.table(START - HOUR_MS))
  }

  run(): this {
    for (const action of this.#plan.actions) {
      this.#apply(action)
    }
    return this
  }

  /**
   * Whether a new attempt may send once all messages are delivered. Also true if the schedule does not guarantee that:
   * an attempt ran or crashed, a node restarted, or the key is not accepted.
   */
  isUsableAgain(): boolean {
    for (let round = 0; round < 20; round += 1) {
      this.#deliverAll(round)
      this.#advance(1_000)
      this.#attempts.forEach((attempt) => {
        if (attempt.state === 'running') {
          this.#finish(attempt, 'not-run')
        }
      })
    }
    this.#deliverAll(0)
    const mayHaveRun = this.#attempts.some(({ state }) => state === 'ran' || state === 'crashed')
    const probe = mayHaveRun || this.#restarted ? undefined : this.#attempt(0)
    this.#deliverAll(0)
    return probe === undefined || probe.claimant.decision?.kind === 'run'
  }

  #apply(action: Action): void {
    switch (action.kind) {
      case 'attempt':
        this.#attempt(action.node, action.rosterAgeMs)
        return
      case 'deliver':
      case 'repeat':
      case 'lose':
        this.#handleMessage(action.kind, action.pick)
        return
      case 'deliver-all':
        this.#deliverAll(action.pick)
        return
      case 'advance':
        this.#advance(action.ms)
        return
      case 'restart':
        this.#restart(action.nodes)
        return
      case 'crash':
        this.#attempts.filter((_, index) => index === action.pick % this.#attempts.length).forEach(crash)
        return
      case 'skew':
        this.#offsets[action.node] = action.ms
        return
      case 'finish':
        this.#attempts
          .filter(({ state }) => state === 'running')
          .filter((_, index, running) => index === action.pick % running.length)
          .forEach((attempt) => {
            this.#finish(attempt, action.ending)
          })
    }
  }

  #restart(nodes: number): void {
    this.#restarted = true
    const isRestarted = (index: number) => ((nodes >> index) & 1) === 1
    this.#tables.forEach((_, index) => {
      if (isRestarted(index)) {
        this.#tables[index] = this.#parts.table(this.#clock(index))
      }
    })
    this.#attempts.filter((attempt) => isRestarted(attempt.node)).forEach(crash)
  }

  #clock(index: number): number {
    return this.#time + (this.#offsets[index] ?? 0)
  }

  #attempt(index: number, rosterAgeMs = 0): Attempt | undefined {
    const now = this.#clock(index)
    if (rosterAgeMs > this.#parts.rosterValidMs) return undefined
    if (acceptKey(this.#key.key, now, this.#plan.retentionMs).isErr()) {
      return undefined
    }
    const known = this.#history.filter((epoch) => epoch.effectiveFrom - EPOCH_NOTICE_MS <= this.#time - rosterAgeMs)
    const roster = rosterAt(known, this.#parts.rosterTime(this.#key.time, now))
    const use: KeyUse = {
      key: this.#key.key,
      attempt: attemptId(`attempt-${this.#attempts.length}`),
      fingerprint: 'same',
      scope: 'booking',
      retentionMs: this.#plan.retentionMs,
    }
    const holders = chooseHolders(use.key, roster?.entries ?? [])
    const claimant = new Claimant({ use, holders, runMs: 10_000, closeTimeoutMs: HOUR_MS })
    const attempt: Attempt = { node: index, claimant, state: 'claiming' }
    this.#attempts.push(attempt)
    this.#send(this.#attempts.length - 1, claimant.start(now))
    return attempt
  }

  #send(attempt: number, addressed: readonly AddressedRequest[]): void {
    this.#network.push(...addressed.map((item) => ({ kind: 'request' as const, attempt, addressed: item })))
  }

  #handleMessage(kind: 'deliver' | 'repeat' | 'lose', from: number): void {
    const index = from % this.#network.length
    const message = this.#network[index]
    if (message === undefined) {
      return
    }
    if (kind !== 'repeat') {
      this.#network.splice(index, 1)
    }
    if (kind !== 'lose') {
      this.#deliver(message)
    }
  }

  #deliverAll(from: number): void {
    for (let step = 0; this.#network.length > 0 && step < 500; step += 1) {
      this.#handleMessage('deliver', from + step * 7)
    }
  }

  #deliver(message: Message): void {
    if (message.kind === 'request') {
      const { holder, request } = message.addressed
      const index = Number(holder)
      const reply = this.#tables[index]?.handle(request, this.#clock(index)) ?? { kind: 'unreachable' }
      this.#network.push({ kind: 'reply', attempt: message.attempt, holder, to: request.kind, reply })
      return
    }
    const attempt = this.#attempts[message.attempt]
    if (attempt !== undefined && attempt.state !== 'crashed') {
      const now = this.#clock(attempt.node)
      this.#send(message.attempt, attempt.claimant.receive(message.holder, message.to, message.reply, now))
      this.#observe(attempt)
    }
  }

  #advance(ms: number): void {
    this.#time += ms
    this.#attempts.forEach((attempt, index) => {
      if (attempt.state !== 'crashed') {
        this.#send(index, attempt.claimant.tick(this.#clock(attempt.node)))
        this.#observe(attempt)
      }
    })
  }

  #observe(attempt: Attempt): void {
    const decision = attempt.claimant.decision
    if (attempt.state !== 'claiming' || decision === undefined) {
      return
    }
    attempt.state = decision.kind === 'run' ? 'running' : 'not-run'
    const others = this.#attempts.filter((other) => other !== attempt && permitted(other))
    this.violated ||= decision.kind === 'run' && others.length > 0
  }

  #finish(attempt: Attempt, ending: 'not-run' | 'response' | 'unknown'): void {
    const now = this.#clock(attempt.node)
    const { claimant } = attempt
    const index = this.#attempts.indexOf(attempt)
    attempt.state = ending === 'not-run' ? 'not-run' : 'ran'
    if (ending === 'not-run') {
      this.#send(index, claimant.release(now))
    } else if (ending === 'unknown') {
      this.#send(index, claimant.complete({ kind: 'unknown' }, now))
    } else {
      this.#send(index, claimant.complete({ kind: 'response', status: 201 }, now))
    }
  }
}

/** Whether the attempt may have sent its request, which includes a crash after the permission to send. */
function permitted(attempt: Attempt): boolean {
  const { state, claimant } = attempt
  return state === 'running' || state === 'ran' || (state === 'crashed' && claimant.decision?.kind === 'run')
}

function crash(attempt: Attempt): void {
  attempt.state = attempt.state === 'ran' || attempt.state === 'not-run' ? attempt.state : 'crashed'
}

function epoch(number: number, effectiveFrom: number, first: number, end: number): RosterEpoch {
  const entries = Array.from({ length: end - first }, (_, index) => ({
    node: nodeId(String(first + index)),
    domain: failureDomain(`domain-${(first + index) % 3}`),
  }))
  return { epoch: number, effectiveFrom, entries }
}
