/**
 * Overhead of one entry on loopback, with server, entry and load in processes of their own: finds the maximum
 * throughput through the entry, then compares direct calls with calls through the entry at half of it, in one run.
 * Usage: `npx tsx packages/bench/src/overhead/main.ts [seconds] [node options of the entry...]`.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const CONNECTIONS = 64
const ROUNDS = Number(process.env.ROUNDS ?? 3)
const [seconds = '4', ...entryOptions] = process.argv.slice(2)

interface Report {
  readonly perSecond: number
  readonly p50: number
  readonly p90: number
  readonly p99: number
  readonly failed: number
}

/** Bundled as in the product; running the sources directly would measure helpers of the TypeScript loader. */
const folder = mkdtempSync(join(tmpdir(), 'overhead-'))
await build({
  entryPoints: ['server-main.ts', 'entry-main.ts', 'load-main.ts'].map((file) =>
    fileURLToPath(new URL(file, import.meta.url)),
  ),
  outdir: folder,
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url)" },
})

function run(file: string, args: readonly (string | number)[], options: readonly string[] = []): ChildProcess {
  const all = [...options, join(folder, file), ...args.map(String)]
  return spawn(process.execPath, all, { stdio: ['ignore', 'pipe', 'inherit'] })
}

async function firstLine(child: ChildProcess): Promise<string> {
  let text = ''
  child.stdout?.on('data', (part: Buffer) => (text += part.toString()))
  while (!text.includes('\n')) await once(child.stdout ?? child, 'data')
  return text
}

async function load(port: number, rate: number, ms: number): Promise<Report> {
  return JSON.parse(await firstLine(run('load-main.mjs', [port, rate, ms, CONNECTIONS]))) as Report
}

const server = run('server-main.mjs', [])
const serverPort = Number(await firstLine(server))
const entry = run('entry-main.mjs', [serverPort], entryOptions)
const entryPort = Number(await firstLine(entry))
const ms = Number(seconds) * 1000
const direct = await load(serverPort, 0, ms)
process.stdout.write(`maximum of the server: ${direct.perSecond} calls/s, failed ${direct.failed}\n`)
const most = await load(entryPort, 0, ms)
process.stdout.write(`maximum through the entry: ${most.perSecond} calls/s, failed ${most.failed}\n`)
const rate = Math.round(most.perSecond / 2)
for (let round = 1; round <= ROUNDS; round += 1) {
  const direct = await load(serverPort, rate, ms)
  const through = await load(entryPort, rate, ms)
  const added = (['p50', 'p90', 'p99'] as const).map((name) => `${name} ${(through[name] - direct[name]).toFixed(3)}`)
  process.stdout.write(`round ${round} at ${rate} calls/s: added ms ${added.join(', ')}\n`)
  process.stdout.write(`  direct ${JSON.stringify(direct)}\n  through ${JSON.stringify(through)}\n`)
}
server.kill()
entry.kill()
await once(entry, 'exit')
rmSync(folder, { recursive: true })
