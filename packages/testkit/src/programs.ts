/**
 * Commands of the programs that tests start. Sources are bundled once per test file: bundling takes about 0.2 s and
 * makes each start about 1 s faster than running the sources. `BILBERRYSTALL_BINARY` selects a built binary instead.
 */
import { mkdir } from 'node:fs/promises'
import { join } from 'node:path'
import { build } from 'esbuild'
import { REPOSITORY } from './processes'
import { CLOCK_OFFSET_VARIABLE, SOURCE_ADDRESS_VARIABLE } from './preload-variables'

const CACHE_FOLDER = join(REPOSITORY, 'node_modules/.cache/bilberrystall-test')
const bundles = new Map<string, Promise<string>>()

/** Command of the product: the bundled sources, or the binary that `BILBERRYSTALL_BINARY` names. */
export async function bilberrystallCommand(): Promise<readonly string[]> {
  const binary = process.env.BILBERRYSTALL_BINARY
  return binary === undefined
    ? [process.execPath, await bundleOnce('packages/cli/src/main.ts')]
    : [join(REPOSITORY, binary)]
}

export async function fakeServerCommand(): Promise<readonly string[]> {
  return [process.execPath, await bundleOnce('packages/testkit/src/fake-server-main.ts')]
}

export interface PreloadOptions {
  /** Address that the process connects from. */
  readonly sourceAddress: string
  /** Difference of the wall clock of the process from that of the machine, 0 by default. */
  readonly clockOffsetMs?: number
}

/** Environment that loads the test modules into a process of any build, before its program. */
export async function preloadEnvironment({
  sourceAddress,
  clockOffsetMs = 0,
}: PreloadOptions): Promise<Readonly<Record<string, string>>> {
  const modules = await Promise.all(
    ['packages/testkit/src/source-address.ts', 'packages/testkit/src/clock-offset.ts'].map(bundleOnce),
  )
  const preloads = modules.map((module) => `--require "${module}"`)
  const options = [process.env.NODE_OPTIONS, ...preloads].filter((option) => option !== undefined)
  return {
    NODE_OPTIONS: options.join(' '),
    [SOURCE_ADDRESS_VARIABLE]: sourceAddress,
    [CLOCK_OFFSET_VARIABLE]: String(clockOffsetMs),
  }
}

function bundleOnce(source: string): Promise<string> {
  const bundled = bundles.get(source) ?? bundle(source)
  bundles.set(source, bundled)
  return bundled
}

/**
 * Bundles with the options of `scripts/build.ts`. The file name contains the id of the vitest worker, because test
 * files run at the same time.
 */
async function bundle(source: string): Promise<string> {
  await mkdir(CACHE_FOLDER, { recursive: true })
  const outfile = join(CACHE_FOLDER, `${source.replaceAll('/', '-')}-${process.env.VITEST_POOL_ID ?? process.pid}.cjs`)
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
