/**
 * Builds `target/bilberrystall.cjs` for service managers that run Node.js themselves. It loads the bundle with a V8
 * code cache, so that a start does not compile any code, which halves its CPU time and saves 10 MB of memory. The cache
 * is created with the Node.js flags of the deploy file, because V8 rejects a cache that was created with other flags.
 */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { build } from 'esbuild'
import { BUNDLE, SERVICE_BUNDLE } from './bundle'

const OUTPUT = 'target/bilberrystall.cjs'
const DEPLOY_FILE = 'deploy/system.toml'

await build({ ...SERVICE_BUNDLE, entryPoints: ['packages/cli/src/main.ts'], outfile: 'target/program.cjs' })
await build({ ...BUNDLE, entryPoints: ['packages/cli/src/launcher.ts'], outfile: OUTPUT })
execFileSync(process.execPath, [...nodeFlags(), OUTPUT, '--version'], {
  stdio: 'inherit',
  env: { ...process.env, BILBERRYSTALL_WRITE_CODE_CACHE: 'yes' },
})

/** Returns the Node.js flags in the first `run` line of the deploy file. */
function nodeFlags(): readonly string[] {
  const run = /^run = "node ([^"]*)"/m.exec(readFileSync(DEPLOY_FILE, 'utf8'))
  return (run?.[1] ?? '').split(' ').filter((word) => word.startsWith('--'))
}
