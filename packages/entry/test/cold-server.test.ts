/** Guards against an entry that ignores what a response says of the warm-up of a server. */
import { failureDomain, seededRandom, serverId, serviceName } from '@bilberrystall/base'
import { Router } from '@bilberrystall/routing'
import { expect, test } from 'vitest'
import { DEFAULT_DIALECT } from '../src/index'
import { parseResponseHead, type ResponseHead } from '../src/head'
import { RouterDriver } from '../src/router-driver'

const SERVER = serverId('s1')

function makeDriver() {
  const router = new Router({ random: seededRandom(1) })
  const service = serviceName('booking')
  router.configure(service, { warmUp: { lengthMs: 5000, rate: 4 } }, 0)
  const server = { id: SERVER, service, domain: failureDomain('one'), slots: 3, state: 'ready', firstSeen: 0 } as const
  router.updateServer(server, 0)
  const options = { router, now: () => 0, probe: () => undefined, serverChanged: () => undefined }
  return { router, driver: new RouterDriver(options) }
}

function head(status: number, fields: readonly string[]): ResponseHead {
  return parseResponseHead(
    status,
    fields.map((text) => Buffer.from(text)),
    DEFAULT_DIALECT,
  )
}

test.each([
  ['a cold time', 200, ['bilberrystall-warm-up-ms', '3000'], 1],
  ['a cold time with decimals', 200, ['bilberrystall-warm-up-ms', '0.4'], 1],
  ['no cold time', 200, [], 0],
  ['a malformed cold time', 200, ['bilberrystall-warm-up-ms', 'soon'], 0],
  ['the cold time of another process', 421, ['bilberrystall-warm-up-ms', '3000'], 0],
  ['a cold time with a refusal', 503, ['bilberrystall-not-run', '1', 'bilberrystall-warm-up-ms', '3000'], 1],
])('a response with %s is taken as what it says', (_, status, fields, cold) => {
  const { router, driver } = makeDriver()
  driver.responded(SERVER, head(status, fields))
  driver.stop()
  expect(router.coldServers(0)).toBe(cold)
})

test('a response that says 0 ends the cold time at once', () => {
  const { router, driver } = makeDriver()
  driver.responded(SERVER, head(200, ['bilberrystall-warm-up-ms', '3000']))
  driver.responded(SERVER, head(200, []))
  expect(router.coldServers(0)).toBe(1)
  driver.responded(SERVER, head(200, ['bilberrystall-warm-up-ms', '0']))
  driver.stop()
  expect(router.coldServers(0)).toBe(0)
})
