import { readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { RESULT_CODES } from '@bilberrystall/base'
import { Harness, Transcript } from '@bilberrystall/testkit'
import { afterEach, beforeEach, expect, test } from 'vitest'
import { cli } from './operator-stub'

let harness: Harness

beforeEach(async () => {
  harness = await Harness.create()
})

afterEach(() => harness.end())

test('the example files are valid, are not overwritten, and faults in them are reported', async () => {
  const session = new Transcript()
  const folder = join(harness.folder, 'example')
  const commands = [
    ['new', folder],
    ['settings', 'check', join(folder, 'settings.ini')],
    ['document', 'check', join(folder, 'document.ini')],
    ['new', folder],
    ['document', 'check', join(folder, 'missing.ini')],
  ]
  for (const command of commands) session.addCommand(command, await cli(...command))
  const faulty = (await readFile(join(folder, 'document.ini'), 'utf8')).replaceAll('deadline = 5s', 'deadline = 5')
  await writeFile(join(folder, 'document.ini'), faulty.replace('key-retention = 1h', 'key-retenton = 1h'))
  const check = ['document', 'check', join(folder, 'document.ini')]
  session.addCommand(check, await cli(...check))
  const settings = (await readFile(join(folder, 'settings.ini'), 'utf8')).replace('roles = entry', 'rôles = entry')
  await writeFile(join(folder, 'settings.ini'), settings)
  const settingsCheck = ['settings', 'check', join(folder, 'settings.ini')]
  session.addCommand(settingsCheck, await cli(...settingsCheck))
  await expect(session.toText({ replace: { [harness.folder]: '<folder>' } })).toMatchFileSnapshot(
    'golden/local-commands.txt',
  )
})

/** Guards against a document that is put in force with replacement characters in place of the bytes in its file. */
test.each([
  ['é in Latin-1', Buffer.from([0xe9])],
  ['half of a surrogate pair', Buffer.from([0xed, 0xa0, 0x80])],
  ['a cut character', Buffer.from([0xc3])],
])('a document file with %s is refused', async (_, bytes) => {
  const file = join(harness.folder, 'document.ini')
  await writeFile(file, Buffer.concat([Buffer.from('[document]\ntitle = a'), bytes, Buffer.from('\n')]))
  for (const command of ['check', 'submit']) {
    const result = await cli('document', command, file)
    expect(result).toMatchObject({ status: 108, stdout: '' })
    expect(result.stderr).toContain('line 2')
  }
})

test('operator.keys does not contain the key', async () => {
  await cli('new', harness.folder)
  const key = (await readFile(join(harness.folder, 'operator.key'), 'utf8')).trim()
  expect(await readFile(join(harness.folder, 'operator.keys'), 'utf8')).not.toContain(key)
})

test('an invalid command line has its own exit status', async () => {
  expect((await cli('document', 'nothing')).status).toBe(RESULT_CODES.usage.number)
  expect((await cli('document', 'submit')).status).toBe(RESULT_CODES.usage.number)
})

test('--help lists the commands and codes lists all result codes', async () => {
  const help = await cli('--help')
  expect(help).toMatchObject({ status: 0, stderr: '' })
  expect(help.stdout).toContain('document submit')
  expect((await cli('codes')).stdout).toContain('`change-unknown`')
  expect(JSON.parse((await cli('codes', '--json')).stdout)).toHaveLength(Object.keys(RESULT_CODES).length)
})
