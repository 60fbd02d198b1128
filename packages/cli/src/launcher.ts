/**
 * Loads the bundled program with V8's code cache beside it. Without a cache, or with one of another version of Node.js or
 * other flags, the program is compiled as usual. With `BILBERRYSTALL_WRITE_CODE_CACHE` set it writes the cache at its exit.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire, Module } from 'node:module'
import { dirname, join } from 'node:path'
import { Script } from 'node:vm'

const FOLDER = dirname(process.argv[1] ?? '.')
const PROGRAM = join(FOLDER, 'program.cjs')
const CACHE = join(FOLDER, 'program.cache')

type Program = (
  exports: object,
  require: NodeJS.Require,
  module: { readonly exports: object },
  file: string,
  folder: string,
) => void

const isWriting = process.env.BILBERRYSTALL_WRITE_CODE_CACHE !== undefined
const cachedData = isWriting ? undefined : readCache()
const script = new Script(Module.wrap(readFileSync(PROGRAM, 'utf8')), {
  filename: PROGRAM,
  ...(cachedData === undefined ? {} : { cachedData }),
})
// At the exit the functions that a start needs have been compiled, and the cache holds them.
if (isWriting) {
  process.once('exit', () => {
    writeFileSync(CACHE, script.createCachedData())
  })
}
const program = script.runInThisContext() as Program
const module = { exports: {} }
program(module.exports, createRequire(PROGRAM), module, PROGRAM, FOLDER)

function readCache(): Buffer | undefined {
  try {
    return readFileSync(CACHE)
  } catch {
    // The cache only saves time.
    return undefined
  }
}
