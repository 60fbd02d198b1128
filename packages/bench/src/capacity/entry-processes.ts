/** Starts the entry, server and load processes of the entry benchmark, bundled as in the product. */
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { Harness, RunningProcess } from '@bilberrystall/testkit'
import { build } from 'esbuild'

const SOURCES = [
  '../overhead/server-main.ts',
  '../overhead/entry-main.ts',
  '../overhead/load-main.ts',
  'hop-server-main.ts',
]
const CONNECTIONS = 64

export interface LoadReport {
  readonly perSecond: number
  readonly p50: number
  readonly p99: number
  readonly failed: number
}

/** A server, and an entry that sends its calls to this server. */
export interface EntryAndServer {
  readonly serverPort: number
  readonly entryPort: number
  readonly entry: RunningProcess
}

export class EntryProcesses {
  readonly #harness: Harness

  private constructor(harness: Harness) {
    this.#harness = harness
  }

  static async create(harness: Harness): Promise<EntryProcesses> {
    await build({
      entryPoints: SOURCES.map((file) => fileURLToPath(new URL(file, import.meta.url))),
      outdir: harness.folder,
      entryNames: '[name]',
      outExtension: { '.js': '.mjs' },
      bundle: true,
      platform: 'node',
      target: 'node20',
      format: 'esm',
      banner: { js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url)" },
      logLevel: 'error',
    })
    return new EntryProcesses(harness)
  }

  async startEntryAndServer(
    server: 'server-main' | 'hop-server-main',
    ...args: readonly number[]
  ): Promise<EntryAndServer> {
    const serverPort = await readPort(this.#start(server, args))
    const entry = this.#start('entry-main', [serverPort])
    return { serverPort, entryPort: await readPort(entry), entry }
  }

  /** Runs the load generator. With 0 calls per second, every connection sends its next call after each response. */
  async runLoad(port: number, perSecond: number, durationMs: number): Promise<LoadReport> {
    const loadProcess = this.#start('load-main', [port, perSecond, durationMs, CONNECTIONS])
    await loadProcess.waitForExit(durationMs + 10_000)
    const report = JSON.parse(loadProcess.stdout) as LoadReport
    if (report.failed > 0) throw new Error(`${report.failed} calls failed at ${perSecond} calls/s`)
    return report
  }

  #start(name: string, args: readonly number[]): RunningProcess {
    const command = [process.execPath, join(this.#harness.folder, `${name}.mjs`), ...args.map(String)]
    return this.#harness.start({ name, command })
  }
}

async function readPort(process: RunningProcess): Promise<number> {
  return Number((await process.waitForLine(/^(\d+)\n/))[1])
}
