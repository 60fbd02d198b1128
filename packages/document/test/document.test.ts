import { serviceName } from '@bilberrystall/base'
import { expect, test } from 'vitest'
import { checkDocument, formatFaults, matchRoute, parseDocument } from '../src/index'

const VALID = `
[document]
title = Booking calls
key-retention = 30m

[service.booking]
measuring-budget = 0.5%

[service.availability]

[route.slots]
service = availability
path = /slots
repeatable = yes
deadline = 300ms

[route.book]
service = booking
host = book.example
path = /bookings/
methods = POST
key = required
max-body = 64KiB
`

test('a valid document yields services and routes with defaults', () => {
  expect(parseDocument(VALID)._unsafeUnwrap()).toMatchSnapshot()
})

test('every fault of a document is listed with section and key, so operators fix all of them at once', () => {
  const text = `
[document]
titel = x
[service.booking]
measuring-budget = half
[route.book]
service = nowhere
deadline = 5 parsecs
methods = FETCH
key = optional
repeatable = yes
repeatable = no
stray
`
  expect(formatFaults(parseDocument(text)._unsafeUnwrapErr())).toMatchSnapshot()
})

test('references and overlaps between sections are checked after the values', () => {
  const text = `${VALID}
[route.other]
service = nowhere
host = BOOK.example
path = /bookings/
methods = POST, FETCH
repeatable = yes
key = optional
`
  expect(formatFaults(parseDocument(text)._unsafeUnwrapErr())).toMatchSnapshot()
})

test('a service may limit hedged attempts, and 0% is kept apart from no limit', () => {
  const limitOf = (line: string) => {
    const { services } = parseDocument(
      VALID.replace('[service.availability]', `[service.availability]\n${line}`),
    )._unsafeUnwrap()
    return services.get(serviceName('availability'))?.hedgeLimit
  }
  expect([limitOf(''), limitOf('hedge-limit = 0%'), limitOf('hedge-limit = 5%')]).toEqual([undefined, 0, 0.05])
})

test('a route matches whole path segments, its host and its methods', () => {
  const document = parseDocument(VALID)._unsafeUnwrap()
  const match = (host: string, method: string, path: string) => {
    const result = matchRoute(document, host, method, path)
    return result.kind === 'matched' ? result.route.name : result.kind
  }
  expect([
    match('any', 'GET', '/slots'),
    match('any', 'GET', '/slots/7'),
    match('any', 'GET', '/slotsmachine'),
    match('Book.example:8080', 'POST', '/bookings/1'),
    match('other.example', 'POST', '/bookings/1'),
    match('any', 'DELETE', '/slots'),
  ]).toEqual(['slots', 'slots', 'none', 'book', 'none', 'method-not-allowed'])
})

test('half of a surrogate pair is refused wherever it is in a document that an operator sends', () => {
  const faultsOf = (text: string) =>
    checkDocument(text).match(
      () => [],
      (faults) => faults.map(({ section, key }) => `${section} ${key}`),
    )
  const [booking, path] = ['[service.booking]\n', 'path = /slots']
  expect(faultsOf(VALID.replace(path, `${path}\ud83d\ude80`))).toEqual([])
  expect(faultsOf(VALID.replace('Booking calls', 'Booking \ud83d calls'))).toEqual(['document title'])
  // An escape, which the text alone would not show.
  expect(faultsOf(VALID.replace(booking, `${booking}health-path = "/\\udc00"\n`))).toEqual([
    'service.booking health-path',
  ])
  expect(faultsOf(VALID.replace(path, `host = \ud800\n${path}\udfff`))).toEqual([
    'route.slots host',
    'route.slots path',
  ])
  expect(faultsOf(VALID.replace(booking, `; \ud800\n${booking}`))).toEqual([' '])
})
