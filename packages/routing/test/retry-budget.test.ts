import { expect, test } from 'vitest'
import { TokenRetryBudget } from '../src/index'

// Guards against retries that amplify an overload.
test('retries stay within their share of calls', () => {
  const budget = new TokenRetryBudget({ minimum: 0, burst: 1000 }, 0)
  while (budget.take(0)) continue
  for (let call = 0; call < 1000; call += 1) budget.credit(0)
  let retries = 0
  while (budget.take(0)) retries += 1
  expect(retries).toBeLessThanOrEqual(100)
  expect(retries).toBeGreaterThan(98)
})

// Guards against a service with few calls earning too few tokens to ever retry.
test('one retry per second is always allowed', () => {
  const budget = new TokenRetryBudget({}, 0)
  expect(budget.take(0)).toBe(true)
  expect(budget.take(900)).toBe(false)
  expect(budget.take(1000)).toBe(true)
})

// Guards against a burst of retries after a long time without calls.
test('the number of accumulated retries is limited', () => {
  const budget = new TokenRetryBudget({ burst: 5 }, 0)
  expect(budget.available(1e9)).toBe(5)
})

// Guards against documents that allow a further retry with each revision (issue 73).
test('a change of limits allows no retry by itself and keeps the tokens that were earned', () => {
  const budget = new TokenRetryBudget({ minimum: 0, burst: 20 }, 0)
  expect(budget.take(0)).toBe(true)
  budget.configure({ minimum: 0, burst: 10 }, 0)
  expect(budget.take(0)).toBe(false)
  for (let call = 0; call < 200; call += 1) budget.credit(0)
  budget.configure({ minimum: 0, burst: 15 }, 0)
  expect(budget.available(0)).toBe(10)
  budget.configure({ minimum: 0, burst: 5 }, 0)
  expect(budget.available(0)).toBe(5)
})
