/** Guards against a head that is joined from two messages, and against refusing one that only mentions a protocol. */
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { BodyScan, HeadScan } from '../src/message-boundary'

const HEAD = 'HTTP/1.1 503 Service Unavailable\r\nattempt: a\r\nnot-run: 1\r\nload: 1,2,3\r\n\r\n'
const NEXT = 'HTTP/1.1 200 OK\r\nattempt: b\r\ncontent-length: 2\r\n\r\n'
/** Cuts before this one leave no status, behind which anything may follow. */
const STATUS_END = 'HTTP/1.1 503 '.length

function scan(text: string, sizes: readonly number[] = []): boolean {
  const scanner = new HeadScan()
  let rest = Buffer.from(text, 'latin1')
  for (const size of [...sizes, text.length]) {
    if (scanner.add(rest.subarray(0, size))) return true
    rest = rest.subarray(size)
  }
  return false
}

test('a head that begins with the start of another one is recognised at every cut and in any parts', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: STATUS_END, max: HEAD.length - 1 }),
      fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 8 }),
      (cut, sizes) => {
        expect(scan(`${HEAD.slice(0, cut)}${NEXT}ok`, sizes)).toBe(true)
      },
    ),
  )
})

test('a whole head is accepted in any parts, whatever its body contains', () => {
  const body = `${NEXT}HTTP/1.1 200 OK`
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 8 }), (sizes) => {
      expect(scan(HEAD + body, sizes)).toBe(false)
    }),
  )
})

test.each([
  ['a via field', 'HTTP/1.1 200 OK\r\nvia: HTTP/1.1 proxy, HTTP/1.1 10.0.0.1\r\n\r\n', false],
  ['a server field', 'HTTP/1.1 200 OK\r\nserver: HTTP/1.1\r\n\r\n', false],
  ['line ends before it', '\r\n\r\nHTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK', false],
  ['interim responses', `HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 102\r\n\r\n${NEXT}HTTP/1.1 200 `, false],
  ['an interim response that is cut off', `HTTP/1.1 103 Early Hints\r\nlink: ${NEXT}`, true],
  ['the start of another one behind an interim response', `HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 O${NEXT}`, true],
  ['a status line of another protocol', 'HTTP/1.1 200 OK\r\nload: RTSP/1.0 503 x\r\n\r\n', true],
  ['a status line with odd blanks', 'HTTP/1.1 200 OK\r\nload: http/1.10 \t503\tx\r\n\r\n', true],
  ['a status line without a reason as its last value', 'HTTP/1.1 200 OK\r\nload: HTTP/1.0 503\n\n', true],
])('a head with %s', (_, text, isJoined) => {
  expect(scan(text)).toBe(isJoined)
})

/** Passes the text through a scan. Returns what was passed on, and whether the body may end. */
function scanBody(text: string, sizes: readonly number[]): { readonly passedOn: string; readonly mayEnd: boolean } {
  const scanner = new BodyScan()
  let rest = Buffer.from(text, 'latin1')
  let passedOn = ''
  for (const size of [...sizes, text.length]) {
    const part = scanner.add(rest.subarray(0, size))
    if (part === undefined) return { passedOn, mayEnd: false }
    passedOn += part.toString('latin1')
    rest = rest.subarray(size)
  }
  return { passedOn, mayEnd: scanner.mayEnd }
}

const sizesOfParts = fc.array(fc.integer({ min: 0, max: 20 }), { maxLength: 12 })

test('no byte of a message behind a body is passed on, wherever it is cut off and in any parts', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: NEXT.length }), sizesOfParts, (cut, sizes) => {
      const { passedOn, mayEnd } = scanBody(`whole body${NEXT.slice(0, cut)}`, sizes)
      expect('whole body'.startsWith(passedOn)).toBe(true)
      expect(mayEnd).toBe(false)
    }),
  )
})

test('a body is passed on unchanged in any parts', () => {
  const text = 'HTTP/1 HTTP/1.1 2 HHTTP/2 HTTP/1.1 http/1.1 200 end'
  fc.assert(
    fc.property(sizesOfParts, (sizes) => {
      expect(scanBody(text, sizes)).toEqual({ passedOn: text, mayEnd: true })
    }),
  )
})
