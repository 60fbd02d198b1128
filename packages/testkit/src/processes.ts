/**
 * Process harness: starts real processes in a temporary folder on free ports, waits until they are ready, signals them
 * by id, collects their output and always cleans up. One `Harness` belongs to one test.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { existsSync } from 'node:fs'
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'

export const REPOSITORY = fileURLToPath(new URL('../../..', import.meta.url))

const READY_LIMIT_MS = 20_000
const EXIT_LIMIT_MS = 20_000
const POLL_MS = 20

export interface ProcessOptions {
  readonly name: string
  readonly command: readonly string[]
  readonly cwd?: string
  readonly env?: Readonly<Record<string, string>>
}

/** Waits until `check` returns a value; throws with the description after the limit. */
export async function eventually<T>(
  what: string,
  check: () => T | undefined | false | Promise<T | undefined | false>,
  limitMs = READY_LIMIT_MS,
): Promise<T> {
  const end = performance.now() + limitMs
  for (;;) {
    const value = await check()
    if (value !== undefined && value !== false) return value
    if (performance.now() > end) throw new Error(`not seen within ${limitMs} ms: ${what}`)
    await sleep(POLL_MS)
  }
}

export class RunningProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #exited: Promise<number | NodeJS.Signals>
  #stopped = false
  #signalled = false
  stdout = ''
  stderr = ''

  constructor(options: ProcessOptions) {
    this.name = options.name
    const [file = '', ...rest] = options.command
    this.#child = spawn(file, rest, {
      cwd: options.cwd ?? REPOSITORY,
      env: { ...process.env, ...options.env },
      stdio: ['ignore', 'pipe', 'pipe'],
    })
    this.#child.stdout?.on('data', (chunk: Buffer) => (this.stdout += chunk.toString()))
    this.#child.stderr?.on('data', (chunk: Buffer) => (this.stderr += chunk.toString()))
    this.#exited = once(this.#child, 'close').then(([code, signal]) => (code ?? signal) as number | NodeJS.Signals)
  }

  get output(): string {
    return this.stdout + this.stderr
  }

  get pid(): number {
    return this.#child.pid ?? 0
  }

  get running(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Whether the process ended although the test did not signal it. */
  get endedByItself(): boolean {
    return !this.running && !this.#signalled
  }

  signal(signal: NodeJS.Signals): void {
    this.#signalled = true
    this.#stopped = signal === 'SIGSTOP'
    if (this.running) this.#child.kill(signal)
  }

  /** Exit status or signal name. */
  async exit(limitMs = EXIT_LIMIT_MS): Promise<number | NodeJS.Signals> {
    const limit = new AbortController()
    const late = sleep(limitMs, 'late' as const, { signal: limit.signal }).catch(() => 'late' as const)
    const status = await Promise.race([this.#exited, late])
    limit.abort()
    if (status === 'late') throw new Error(`${this.name} still runs after ${limitMs} ms:\n${this.output}`)
    return status
  }

  /** Waits for a line of output that matches. */
  async line(pattern: RegExp, limitMs = READY_LIMIT_MS): Promise<RegExpMatchArray> {
    return this.whileRunning(`${pattern} from ${this.name}`, () => this.output.match(pattern) ?? undefined, limitMs)
  }

  /** Waits until the health page answers 200. */
  async healthy(address: string, path: string, limitMs = READY_LIMIT_MS): Promise<void> {
    await this.whileRunning(
      `${this.name} healthy`,
      async () => (await statusOf(`http://${address}${path}`)) === 200,
      limitMs,
    )
  }

  async whileRunning<T>(
    what: string,
    check: () => T | undefined | false | Promise<T | undefined | false>,
    limitMs = READY_LIMIT_MS,
  ): Promise<T> {
    const guarded = async (): Promise<T | undefined | false> => {
      const value = await check()
      if (!this.running && (value === undefined || value === false)) {
        throw new Error(`${this.name} ended before ${what}:\n${this.output}`)
      }
      return value
    }
    try {
      return await eventually(what, guarded, limitMs)
    } catch (cause) {
      throw new Error(`${String(cause)}\n--- ${this.name}:\n${this.output}`, { cause })
    }
  }

  /** Ends the process whatever its state. */
  async end(): Promise<void> {
    if (!this.running) return
    if (this.#stopped) this.#child.kill('SIGCONT')
    this.#child.kill('SIGKILL')
    await this.#exited
  }
}

async function statusOf(url: string): Promise<number> {
  try {
    const response = await request(url, { signal: AbortSignal.timeout(1000) })
    await response.body.dump()
    return response.statusCode
  } catch {
    return 0
  }
}

export class Harness {
  readonly folder: string
  readonly #cleanups: (() => void | Promise<void>)[] = []

  private constructor(folder: string) {
    this.folder = folder
  }

  static async create(): Promise<Harness> {
    return new Harness(await mkdtemp(join(tmpdir(), 'bilberrystall-test-')))
  }

  start(options: ProcessOptions): RunningProcess {
    const process = new RunningProcess(options)
    this.onEnd(() => process.end())
    return process
  }

  /** Runs a command to its end. */
  async run(options: ProcessOptions): Promise<{ status: number | NodeJS.Signals; stdout: string; stderr: string }> {
    const process = this.start(options)
    const status = await process.exit()
    return { status, stdout: process.stdout, stderr: process.stderr }
  }

  onEnd(cleanup: () => void | Promise<void>): void {
    this.#cleanups.push(cleanup)
  }

  /** Ends every process and removes the folder, also after a failed cleanup. */
  async end(): Promise<void> {
    const ended = await Promise.allSettled(this.#cleanups.reverse().map(async (cleanup) => cleanup()))
    if (existsSync(this.folder)) await rm(this.folder, { recursive: true, force: true })
    const failed = ended.find((result) => result.status === 'rejected')
    if (failed !== undefined) throw new Error('cleanup failed', { cause: failed.reason })
  }
}
