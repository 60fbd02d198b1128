/**
 * Guards against an organisation at several times its usual rate that takes the slots of the others, and against one of
 * low priority that is not served at all. Runs the router and the priorities of one entry against simulated servers.
 */
import {
  failureDomain,
  organisationName,
  seededRandom,
  serverId,
  serviceName,
  type ServerId,
} from '@bilberrystall/base'
import { parseDocument } from '@bilberrystall/document'
import { callId, Router, type Effect, type Load } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { CallPriorities } from '../src/call-priorities'

const SERVERS = 6
const SLOTS = 3
const RUN_MS = 30
/** Calls per second that the servers can run. */
const CAPACITY = (SERVERS * SLOTS * 1000) / RUN_MS
const DEADLINE_MS = 1_000
const TARGET_MS = 400
const SERVICE = serviceName('a')

interface Scenario {
  /** Calls per second of each organisation, in phases of `seconds`. Results are those of the last phase. */
  readonly phases: readonly { readonly seconds: number; readonly rates: readonly number[] }[]
  readonly priorityOf?: (index: number) => number
  readonly queriesLoad: boolean
  /** Whether the decisions are applied; otherwise all calls are urgent, as without organisations. */
  readonly isFair: boolean
}

/** Returns the share of the calls of each organisation that was served in the last phase, and that of all calls. */
function simulate({ phases, priorityOf = () => 0, queriesLoad, isFair }: Scenario) {
  const random = seededRandom(11)
  const clock = { now: 0 }
  const loadQueries = { perServerPerSecond: () => 5_000, entry: 'e', domain: 'd' }
  const router = new Router({ random, ...(queriesLoad ? { loadQueries } : {}) })
  const count = phases[0]!.rates.length
  const organisations = Array.from(
    { length: count },
    (_, index) => `[organisation.o${index}]\nkeys = k${index}\npriority = ${priorityOf(index)}\n`,
  )
  const text = `[document]\ntitle = t\n[service.a]\n[route.a]\nservice = a\npath = /\n${organisations.join('')}`
  const document = parseDocument(text)._unsafeUnwrap()
  const priorities = new CallPriorities({ router, now: () => clock.now })
  priorities.configure(document)
  const route = document.routes[0]!
  const owners = Array.from({ length: count }, (_, index) => document.organisations.get(organisationName(`o${index}`))!)
  const servers = new Map(
    Array.from({ length: SERVERS }, (_, index) => [serverId(`s${index}`), { running: 0, queue: [] as (() => void)[] }]),
  )
  for (const id of servers.keys()) {
    const rest = { service: SERVICE, domain: failureDomain('d'), slots: SLOTS, state: 'ready' as const }
    router.updateServer({ id, firstSeen: -1e6, ...rest }, 0)
  }
  const loadOf = (id: ServerId): Load => {
    const { running, queue } = servers.get(id)!
    return { inflight: running, slots: SLOTS, queue: queue.length }
  }
  const due: { at: number; run: () => readonly Effect[] }[] = []
  const owner = new Map<number, { index: number; isCounted: boolean }>()
  const calls = owners.map(() => 0)
  const served = owners.map(() => 0)
  const end = (id: number, isServed: boolean) => {
    const { index, isCounted } = owner.get(id)!
    owner.delete(id)
    priorities.ended({ route, organisation: owners[index], isRelayed: false }, isServed ? 'complete' : 'overloaded')
    if (isServed && isCounted) served[index]! += 1
  }
  const apply = (effects: readonly Effect[]): void => {
    for (const effect of effects) {
      if (effect.kind === 'shed') end(effect.call, false)
      if (effect.kind === 'query-load') {
        for (const server of effect.servers) {
          const load = loadOf(server)
          const run = () => router.answered(effect.call, server, { kind: 'load', load }, clock.now)
          due.push({ at: clock.now + 1, run })
        }
      }
      if (effect.kind === 'probe') {
        const run = () => router.probed(effect.server, 'ok', 1, undefined, clock.now)
        due.push({ at: clock.now + 1, run })
      }
      if (effect.kind !== 'dispatch') continue
      const { call, server } = effect
      const state = servers.get(server)!
      const sentAt = clock.now
      const finish = () => {
        state.running -= 1
        state.queue.shift()?.()
        end(call, true)
        return router.finished(call, 'ok', clock.now - sentAt, loadOf(server), clock.now)
      }
      const start = () => {
        state.running += 1
        due.push({ at: clock.now + RUN_MS * (0.5 + random()), run: finish })
      }
      if (state.running < SLOTS) start()
      else state.queue.push(start)
    }
  }
  let next = 0
  const submit = (index: number, isCounted: boolean) => {
    const { isDeferrable, precedence } = priorities.place({ route, organisation: owners[index] }, false)
    priorities.admitted(owners[index]!.name)
    const id = callId(next++)
    owner.set(id, { index, isCounted })
    if (isCounted) calls[index]! += 1
    const times = { deadline: clock.now + DEADLINE_MS, target: TARGET_MS, repeatable: true }
    const placed = isFair
      ? { urgency: isDeferrable ? ('deferrable' as const) : ('urgent' as const), ...precedence }
      : {}
    apply(router.submit({ id, service: SERVICE, urgency: 'urgent', ...times, ...placed }, clock.now))
  }
  for (const [phase, { seconds, rates }] of phases.entries()) {
    for (const stop = clock.now + seconds * 1000; clock.now < stop; clock.now += 1) {
      for (const item of due.filter(({ at }) => at <= clock.now)) {
        due.splice(due.indexOf(item), 1)
        apply(item.run())
      }
      if (router.nextWake() <= clock.now) apply(router.tick(clock.now))
      rates.forEach((rate, index) => {
        if (random() < rate / 1000) submit(index, phase === phases.length - 1)
      })
    }
  }
  const share = served.map((value, index) => value / Math.max(1, calls[index]!))
  const all = served.reduce((sum, value) => sum + value, 0) / calls.reduce((sum, value) => sum + value, 0)
  return { share, all }
}

/** Share served over the organisations that the filter accepts. */
const average = (share: readonly number[], accepts: (index: number) => boolean): number => {
  const accepted = share.filter((_, index) => accepts(index))
  return accepted.reduce((sum, value) => sum + value, 0) / accepted.length
}

const BURSTING = 0
/** 72 organisations that use 85 percent of the capacity, one of them a tenth of that. */
const USUAL = Array.from({ length: 72 }, (_, index) => (0.85 * CAPACITY * (index === BURSTING ? 7.1 : 0.9)) / 71)
const BURST = USUAL.map((rate, index) => (index === BURSTING ? 7 * rate : rate))

test.each([{ queriesLoad: true }, { queriesLoad: false }])(
  'one organisation at seven times its usual rate beside 71 others does not take their slots (%o)',
  ({ queriesLoad }) => {
    const phases = [
      { seconds: 30, rates: USUAL },
      { seconds: 3, rates: BURST },
      { seconds: 8, rates: BURST },
    ]
    const fair = simulate({ phases, queriesLoad, isFair: true })
    const unfair = simulate({ phases, queriesLoad, isFair: false })
    const others = (index: number) => index !== BURSTING
    expect(average(fair.share, others)).toBeGreaterThan(1.25 * average(unfair.share, others))
    expect(fair.share[BURSTING]).toBeLessThan(0.6 * average(fair.share, others))
    expect(fair.share[BURSTING]).toBeGreaterThan(fair.all / 4)
  },
)

test.each([{ queriesLoad: true }, { queriesLoad: false }])(
  'an organisation of low priority under lasting overload is served at least a quarter as often as all (%o)',
  ({ queriesLoad }) => {
    const rates = Array.from({ length: 10 }, () => (1.6 * CAPACITY) / 10)
    const low = (index: number) => index >= 8
    const phases = [
      { seconds: 5, rates },
      { seconds: 20, rates },
    ]
    const { share, all } = simulate({ phases, queriesLoad, isFair: true, priorityOf: (index) => Number(low(index)) })
    for (const value of share.filter((_, index) => low(index))) expect(value).toBeGreaterThan(all / 4)
    expect(average(share, low)).toBeLessThan(average(share, (index) => !low(index)))
  },
)
