/** Endpoints that an entry serves itself, on the listener for callers. */
import { randomBytes } from 'node:crypto'
import { createKey } from '@bilberrystall/claims'
import { Hono } from 'hono'
import type { Clock } from './limits'

export const INTERNAL_PREFIX = '/.bilberrystall/'

export function internalApp(clock: Clock): Hono {
  const app = new Hono()
  app.post(`${INTERNAL_PREFIX}keys`, (context) =>
    context.json({ key: createKey(clock.unix(), randomBytes(10)) }, 201, { 'cache-control': 'no-store' }),
  )
  app.notFound((context) => context.json({ title: 'not found' }, 404))
  return app
}
