/**
 * Programs that tests start. Sources are bundled once per test file, which takes a fifth of a second and makes each
 * start a second faster than running the sources. `BILBERRYSTALL_BINARY` names a built binary to test instead.
 */
import { mkdir } from 'node:fs/promises'
import { join } from 'node:path'
import { build } from 'esbuild'
import { REPOSITORY } from './processes'

const CACHE = join(REPOSITORY, 'node_modules/.cache/bilberrystall-test')
const bundles = new Map<string, Promise<string>>()

/** Command line of the product: the bundled source, or the binary that the environment names. */
export async function bilberrystallCommand(): Promise<readonly string[]> {
  const binary = process.env.BILBERRYSTALL_BINARY
  return binary === undefined
    ? [process.execPath, await bundled('packages/cli/src/main.ts')]
    : [join(REPOSITORY, binary)]
}

export async function standInCommand(): Promise<readonly string[]> {
  return [process.execPath, await bundled('packages/testkit/src/stand-in-main.ts')]
}

function bundled(source: string): Promise<string> {
  const known = bundles.get(source) ?? bundle(source)
  bundles.set(source, known)
  return known
}

/** Options are those of `scripts/build.ts`. Files are named by worker, because test files run at the same time. */
async function bundle(source: string): Promise<string> {
  await mkdir(CACHE, { recursive: true })
  const outfile = join(CACHE, `${source.replaceAll('/', '-')}-${process.env.VITEST_POOL_ID ?? process.pid}.cjs`)
  await build({
    entryPoints: [join(REPOSITORY, source)],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    legalComments: 'none',
    logLevel: 'error',
  })
  return outfile
}
