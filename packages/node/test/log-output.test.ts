/** Guards against a node that ends because the disk that holds its log is full. */
import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { expect, test, vi } from 'vitest'
import { LogOutput } from '../src/log-output'

/** Time in which all errors of the writes have been raised. */
const ERRORS_RAISED_MS = 200

test('a process whose log is on a full disk keeps running', async () => {
  const script = `
    const { createLog } = await import('./packages/node/src/log.ts')
    const log = createLog({ node: 'a' })
    for (let line = 0; line < 30; line += 1) log.info('nodeStarted')
    setTimeout(() => console.log('running'), ${ERRORS_RAISED_MS})
  `
  const command = 'exec "$0" --import tsx --input-type=module --eval "$1" 2> /dev/full'
  const { stdout } = await promisify(execFile)('sh', ['-c', command, process.execPath, script])
  expect(stdout.trim()).toBe('running')
})

test('lost lines are counted and reported once lines can be written again', () => {
  let isFull = true
  const written: string[] = []
  const onRecovered = vi.fn()
  const output = new LogOutput((text, done) => {
    if (!isFull) written.push(text)
    done(isFull ? new Error('no space left') : null)
  }, onRecovered)
  output.write('first')
  output.write('second')
  isFull = false
  output.write('third')
  output.write('fourth')
  expect(written).toEqual(['third', 'fourth'])
  expect(onRecovered.mock.calls).toEqual([[2]])
})
