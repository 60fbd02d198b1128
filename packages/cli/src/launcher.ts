/**
 * Loads the bundled program with the V8 code cache next to it. If there is no cache, or if it was created with another
 * version of Node.js or with other flags, the program is compiled as usual. If `BILBERRYSTALL_WRITE_CODE_CACHE` is set,
 * the cache is written on exit.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire, Module } from 'node:module'
import { dirname, join } from 'node:path'
import { Script } from 'node:vm'

const FOLDER = dirname(process.argv[1] ?? '.')
const PROGRAM_FILE = join(FOLDER, 'program.cjs')
const CACHE_FILE = join(FOLDER, 'program.cache')

type Program = (
  exports: object,
  require: NodeJS.Require,
  module: { readonly exports: object },
  file: string,
  folder: string,
) => void

const isWritingCache = process.env.BILBERRYSTALL_WRITE_CODE_CACHE !== undefined
const cachedData = isWritingCache ? undefined : readCache()
const script = new Script(Module.wrap(readFileSync(PROGRAM_FILE, 'utf8')), {
  filename: PROGRAM_FILE,
  ...(cachedData === undefined ? {} : { cachedData }),
})
// Written on exit, because the functions that a start needs have been compiled by then and are included in the cache.
if (isWritingCache) {
  process.once('exit', () => {
    writeFileSync(CACHE_FILE, script.createCachedData())
  })
}
const program = script.runInThisContext() as Program
const module = { exports: {} }
program(module.exports, createRequire(PROGRAM_FILE), module, PROGRAM_FILE, FOLDER)

function readCache(): Buffer | undefined {
  try {
    return readFileSync(CACHE_FILE)
  } catch {
    // The cache is optional and only makes the start faster.
    return undefined
  }
}
