/**
 * Measures the overhead of one entry on loopback, with server, entry and load generator in separate processes. It
 * determines the maximum throughput through the entry and then compares direct calls with calls through the entry at
 * half of that rate.
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

interface LoadReport {
  readonly perSecond: number
  readonly p50: number
  readonly p90: number
  readonly p99: number
  readonly failed: number
}

/** Processes are bundled as in the product, since the TypeScript loader would add the cost of its helpers. */
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

function startProcess(file: string, args: readonly (string | number)[], options: readonly string[] = []): ChildProcess {
  const nodeArguments = [...options, join(folder, file), ...args.map(String)]
  return spawn(process.execPath, nodeArguments, { stdio: ['ignore', 'pipe', 'inherit'] })
}

async function firstLine(child: ChildProcess): Promise<string> {
  let text = ''
  child.stdout?.on('data', (chunk: Buffer) => (text += chunk.toString()))
  while (!text.includes('\n')) await once(child.stdout ?? child, 'data')
  return text
}

async function runLoad(port: number, rate: number, ms: number): Promise<LoadReport> {
  return JSON.parse(await firstLine(startProcess('load-main.mjs', [port, rate, ms, CONNECTIONS]))) as LoadReport
}

const server = startProcess('server-main.mjs', [])
const serverPort = Number(await firstLine(server))
const entry = startProcess('entry-main.mjs', [serverPort], entryOptions)
const entryPort = Number(await firstLine(entry))
const ms = Number(seconds) * 1000
const direct = await runLoad(serverPort, 0, ms)
process.stdout.write(`maximum of the server: ${direct.perSecond} calls/s, failed ${direct.failed}\n`)
const maximum = await runLoad(entryPort, 0, ms)
process.stdout.write(`maximum through the entry: ${maximum.perSecond} calls/s, failed ${maximum.failed}\n`)
const rate = Math.round(maximum.perSecond / 2)
for (let round = 1; round <= ROUNDS; round += 1) {
  const direct = await runLoad(serverPort, rate, ms)
  const through = await runLoad(entryPort, rate, ms)
  const addedLatency = (['p50', 'p90', 'p99'] as const).map(
    (name) => `${name} ${(through[name] - direct[name]).toFixed(3)}`,
  )
  process.stdout.write(`round ${round} at ${rate} calls/s: added ms ${addedLatency.join(', ')}\n`)
  process.stdout.write(`  direct ${JSON.stringify(direct)}\n  through ${JSON.stringify(through)}\n`)
}
server.kill()
entry.kill()
await once(entry, 'exit')
rmSync(folder, { recursive: true })
