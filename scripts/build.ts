/**
 * Builds the binary `dist/bilberrystall`: bundles the command line interface to one CommonJS file, converts it to a
 * blob for a Node.js single executable application and injects the blob into a copy of the running Node.js binary.
 */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs'
import { build } from 'esbuild'
import { BUNDLE } from './bundle'
import { inject } from 'postject'
import { readFile } from 'node:fs/promises'

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const BINARY = 'dist/bilberrystall'

mkdirSync('dist', { recursive: true })
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'dist/bilberrystall.cjs',
  ...BUNDLE,
  sourcemap: false,
})
writeFileSync(
  'dist/sea.json',
  JSON.stringify({ main: 'dist/bilberrystall.cjs', output: 'dist/sea.blob', disableExperimentalSEAWarning: true }),
)
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], { stdio: 'inherit' })
copyFileSync(process.execPath, BINARY)
chmodSync(BINARY, 0o755)
await inject(BINARY, 'NODE_SEA_BLOB', await readFile('dist/sea.blob'), { sentinelFuse: FUSE })
