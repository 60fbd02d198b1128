import { nodeId, serviceName } from '@bilberrystall/base'
import fc from 'fast-check'
import { describe, expect, test } from 'vitest'
import { MeasuringLedger, MeasuringTokens } from '../src/index'

const SERVICE = serviceName('orders')
const WINDOW = 10_000
const BUDGET = 100
const UNIT = 12

type Step =
  | { kind: 'wait'; time: number }
  | {
      kind: 'request'
      entry: number
      leader: number
      wanted: number
      liveEntries: number
      requestDelay: number
      replyDelay: number
      isLost: boolean
    }
  | { kind: 'spend' }
  | { kind: 'restart'; entry: number }
  | { kind: 'elect'; leader: number }
  | { kind: 'isolate'; isIsolated: boolean }

interface Spent {
  readonly start: number
  readonly end: number
}

/** Simulates entries, two control nodes that lead in turn, and delayed messages, all on one clock. */
class Control {
  now = 0
  readonly spent: Spent[] = []
  readonly windows: number[] = []
  readonly #ledgers = [new MeasuringLedger(), new MeasuringLedger()]
  readonly #tokens = new Map<number, MeasuringTokens>()
  #pending: { time: number; run: () => void }[] = []
  #leader = 0
  #isIsolated = false

  constructor() {
    for (const ledger of this.#ledgers) ledger.setBudget(SERVICE, BUDGET)
    this.#elect(0)
  }

  run(step: Step): void {
    switch (step.kind) {
      case 'wait':
        this.#advance(step.time)
        return
      case 'request':
        this.#request(step)
        return
      case 'spend':
        for (const tokens of this.#tokens.values()) this.#spend(tokens)
        return
      case 'restart':
        this.#tokens.set(step.entry, new MeasuringTokens())
        return
      case 'elect':
        this.#elect(step.leader)
        return
      case 'isolate':
        this.#isIsolated = step.isIsolated
        return
    }
  }

  #spend(tokens: MeasuringTokens): void {
    while (tokens.take(SERVICE, UNIT, this.now)) this.spent.push({ start: this.now, end: this.now + UNIT })
  }

  /** The previous leader is not notified; it grants until its own leadership timeout. */
  #elect(leader: number): void {
    this.#leader = leader
    this.#isIsolated = false
    this.#ledgers[leader]?.becomeLeader(this.now)
    this.windows.push(this.now + WINDOW + 1000)
  }

  #request(step: Extract<Step, { kind: 'request' }>): void {
    const sentAt = this.now
    const tokens = this.#tokensOf(step.entry)
    const entry = nodeId(`entry-${step.entry}`)
    this.#later(step.requestDelay, () => {
      const request = { entry, service: SERVICE, wanted: step.wanted, unit: UNIT, liveEntries: step.liveEntries }
      if (step.leader === this.#leader && !this.#isIsolated) this.#ledgers[step.leader]?.confirmed(this.now)
      const grant = this.#ledgers[step.leader]?.request(request, this.now)
      if (grant === undefined || step.isLost) return
      expect(grant.tokens % UNIT).toBe(0)
      this.#later(step.replyDelay, () => {
        tokens.add(grant, sentAt)
      })
    })
  }

  #tokensOf(entry: number): MeasuringTokens {
    const tokens = this.#tokens.get(entry) ?? new MeasuringTokens()
    this.#tokens.set(entry, tokens)
    return tokens
  }

  #later(delay: number, run: () => void): void {
    this.#pending.push({ time: this.now + delay, run })
  }

  #advance(time: number): void {
    const end = this.now + time
    for (;;) {
      this.#pending.sort((left, right) => left.time - right.time)
      const next = this.#pending[0]
      if (next === undefined || next.time > end) break
      this.#pending.shift()
      this.now = next.time
      next.run()
    }
    this.now = end
  }
}

/** Slot time spent within one window; of a probe, only the part that overlaps the window counts. */
function spentWithin(spent: readonly Spent[], from: number): number {
  return spent.reduce((sum, { start, end }) => {
    const overlap = Math.min(end, from + WINDOW) - Math.max(start, from)
    return sum + Math.max(0, overlap)
  }, 0)
}

const entry = fc.nat({ max: 4 })
const leader = fc.nat({ max: 1 })
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('wait'), time: fc.nat({ max: 4000 }) }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('request'),
      entry,
      leader,
      wanted: fc.constantFrom(UNIT, BUDGET, 2 * BUDGET),
      liveEntries: fc.integer({ min: 1, max: 4 }),
      requestDelay: fc.nat({ max: 500 }),
      replyDelay: fc.nat({ max: 6000 }),
      isLost: fc.nat({ max: 4 }).map((draw) => draw === 0),
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('spend') }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart'), entry }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('isolate'), isIsolated: fc.boolean() }) },
)

/** A term of about 30 steps that starts with an election. */
const term = fc
  .tuple(leader, fc.array(step, { minLength: 5, maxLength: 60 }))
  .map(([elected, steps]): Step[] => [{ kind: 'elect', leader: elected }, ...steps])

function grantAt(ledger: MeasuringLedger, now: number, node = 'entry-0', wanted = BUDGET) {
  ledger.confirmed(now)
  return ledger.request({ entry: nodeId(node), service: SERVICE, wanted, unit: UNIT, liveEntries: 1 }, now)
}

describe('measuring ledger', () => {
  // Guards against exceeding the budget through delayed or lost grants, restarts of entries, or two leaders at once.
  test('entries never spend more than the budget in a window, whichever node leads', () => {
    let probes = 0
    fc.assert(
      fc.property(fc.array(term, { maxLength: 8 }), (terms) => {
        const control = new Control()
        for (const one of terms.flat()) control.run(one)
        probes += control.spent.length
        const windows = control.windows.flatMap((first) => Array.from({ length: 60 }, (_, n) => first + n * WINDOW))
        for (const from of windows) expect(spentWithin(control.spent, from)).toBeLessThanOrEqual(BUDGET)
      }),
      { seed: 7, numRuns: 400 },
    )
    expect(probes).toBeGreaterThan(0)
  })

  // Guards against a new leader granting budget that the previous one granted, which it may do for 1 s more.
  test('a new leader grants nothing for one window plus the leadership timeout', () => {
    const ledger = new MeasuringLedger()
    ledger.setBudget(SERVICE, BUDGET)
    ledger.becomeLeader(0)
    expect(grantAt(ledger, WINDOW + 999).tokens).toBe(0)
    expect(grantAt(ledger, WINDOW + 1000).tokens).toBe(96)
  })

  // Guards against a paused or isolated leader that still grants when its successor does.
  test('a leader without contact to a majority grants nothing after 1 s', () => {
    const ledger = new MeasuringLedger()
    ledger.setBudget(SERVICE, BUDGET)
    ledger.becomeLeader(0)
    ledger.confirmed(12_000)
    const request = { entry: nodeId('entry-0'), service: SERVICE, wanted: UNIT, unit: UNIT, liveEntries: 1 }
    expect(ledger.request(request, 13_000).tokens).toBe(UNIT)
    expect(ledger.request(request, 13_001).tokens).toBe(0)
  })

  // Guards against one entry taking the whole budget, and against a budget that is not renewed.
  test('the live entries share the budget of a window, and the next window renews it', () => {
    const ledger = new MeasuringLedger()
    ledger.setBudget(SERVICE, BUDGET)
    ledger.becomeLeader(0)
    ledger.confirmed(11_000)
    const request = { service: SERVICE, wanted: BUDGET, unit: UNIT, liveEntries: 2 }
    expect(ledger.request({ ...request, entry: nodeId('a') }, 11_000).tokens).toBe(48)
    expect(ledger.request({ ...request, entry: nodeId('b') }, 11_000).tokens).toBe(48)
    expect(ledger.request({ ...request, entry: nodeId('c') }, 11_000).tokens).toBe(0)
    expect(grantAt(ledger, 21_000).tokens).toBe(96)
  })

  // Guards against an isolated entry that continues to probe.
  test('tokens expire with their window, counted from the sending of the request', () => {
    const tokens = new MeasuringTokens()
    tokens.add({ service: SERVICE, tokens: 24, validFor: 5000 }, 100)
    expect(tokens.take(SERVICE, UNIT, 5088)).toBe(true)
    expect(tokens.take(SERVICE, UNIT, 5089)).toBe(false)
    expect(tokens.available(SERVICE, 5100)).toBe(0)
  })
})
