import { afterEach, beforeEach, expect, test } from 'vitest'
import { eventually, Harness, normalise, sendCall, fakeServerCommand } from '@bilberrystall/testkit'

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('a fake server runs in its own process, pauses on SIGSTOP, resumes on SIGCONT and stops on SIGTERM', async () => {
  const options = JSON.stringify({ service: 'intake', server: 'i1' })
  const command = [...(await fakeServerCommand()), options]
  const server = harness.start({ name: 'fake-server', command })
  const [, address = ''] = await server.waitForLine(/"address":"([^"]+)"/)
  expect((await sendCall(address, { method: 'GET', path: '/' })).outcome).toBe('complete')
  server.signal('SIGSTOP')
  let answered = false
  const call = sendCall(address, { method: 'GET', path: '/' }).then((result) => {
    answered = true
    return result
  })
  await new Promise((resolve) => setTimeout(resolve, 50))
  expect(answered).toBe(false)
  server.signal('SIGCONT')
  expect((await call).outcome).toBe('complete')
  server.signal('SIGTERM')
  expect(await server.waitForExit()).toBe(0)
})

test('a process that exits before it is ready is reported with its output', async () => {
  const command = [process.execPath, '-e', 'console.error("no settings"); process.exit(3)']
  const started = harness.start({ name: 'broken', command })
  await expect(started.waitForLine(/ready/)).rejects.toThrow('no settings')
  expect(await started.waitForExit()).toBe(3)
})

test('the harness also ends paused processes', async () => {
  const other = await Harness.create()
  const frozen = other.start({ name: 'frozen', command: [process.execPath, '-e', 'setInterval(() => {}, 1000)'] })
  frozen.signal('SIGSTOP')
  await other.end()
  await eventually('the process has exited', () => !frozen.isRunning)
})

test('normalise replaces values that differ between runs and keeps equal values equal', () => {
  const id = '0190163d-8694-739b-aea5-966c26f8ad91'
  const digest = 'ab'.repeat(32)
  const text = `2026-01-02T03:04:05.678Z ${id} ${digest} 127.0.0.1:8080 ${id} 127.0.0.1:8081`
  expect(normalise(text)).toBe('<time> <uuid-1> <digest-1> 127.0.0.1:<port-1> <uuid-1> 127.0.0.1:<port-2>')
})
