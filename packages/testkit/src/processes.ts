/**
 * Process harness: starts processes, waits until they are ready, signals them by id, collects their output, and ends
 * them after the test in any case. Each test creates its own `Harness`, which also owns a temporary folder.
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

const READY_TIMEOUT_MS = 20_000
const EXIT_TIMEOUT_MS = 20_000
const POLL_INTERVAL_MS = 20

export interface ProcessOptions {
  readonly name: string
  readonly command: readonly string[]
  readonly cwd?: string
  readonly env?: Readonly<Record<string, string>>
}

/** Polls `check` until it returns a value; throws an error with the description after the timeout. */
export async function eventually<T>(
  description: string,
  check: () => T | undefined | false | Promise<T | undefined | false>,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<T> {
  const end = performance.now() + timeoutMs
  for (;;) {
    const value = await check()
    if (value !== undefined && value !== false) return value
    if (performance.now() > end) throw new Error(`timed out after ${timeoutMs} ms waiting for: ${description}`)
    await sleep(POLL_INTERVAL_MS)
  }
}

export class RunningProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #exited: Promise<number | NodeJS.Signals>
  #paused = false
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

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null
  }

  /** Whether the process exited without a signal from the test. */
  get exitedUnsignalled(): boolean {
    return !this.isRunning && !this.#signalled
  }

  signal(signal: NodeJS.Signals): void {
    this.#signalled = true
    this.#paused = signal === 'SIGSTOP'
    if (this.isRunning) this.#child.kill(signal)
  }

  /** Waits for the exit and returns the exit status or the name of the signal. */
  async waitForExit(timeoutMs = EXIT_TIMEOUT_MS): Promise<number | NodeJS.Signals> {
    const timeoutAbort = new AbortController()
    const timeout = sleep(timeoutMs, 'timeout' as const, { signal: timeoutAbort.signal }).catch(
      () => 'timeout' as const,
    )
    const status = await Promise.race([this.#exited, timeout])
    timeoutAbort.abort()
    if (status === 'timeout') throw new Error(`${this.name} is still running after ${timeoutMs} ms:\n${this.output}`)
    return status
  }

  /** Waits until the output matches the pattern. */
  async waitForLine(pattern: RegExp, timeoutMs = READY_TIMEOUT_MS): Promise<RegExpMatchArray> {
    return this.waitWhileRunning(
      `output matching ${pattern} from ${this.name}`,
      () => this.output.match(pattern) ?? undefined,
      timeoutMs,
    )
  }

  /** Waits until the health page responds with 200. */
  async waitUntilHealthy(address: string, path: string, timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    await this.waitWhileRunning(
      `${this.name} is healthy`,
      async () => (await fetchStatus(`http://${address}${path}`)) === 200,
      timeoutMs,
    )
  }

  /** Like `eventually`, but fails immediately if the process exits. Errors contain the output of the process. */
  async waitWhileRunning<T>(
    description: string,
    check: () => T | undefined | false | Promise<T | undefined | false>,
    timeoutMs = READY_TIMEOUT_MS,
  ): Promise<T> {
    const checkWhileRunning = async (): Promise<T | undefined | false> => {
      const value = await check()
      if (!this.isRunning && (value === undefined || value === false)) {
        throw new Error(`${this.name} exited while waiting for: ${description}\n${this.output}`)
      }
      return value
    }
    try {
      return await eventually(description, checkWhileRunning, timeoutMs)
    } catch (cause) {
      throw new Error(`${String(cause)}\n--- ${this.name}:\n${this.output}`, { cause })
    }
  }

  /** Kills the process, also if it is stopped by SIGSTOP, and waits for its exit. */
  async end(): Promise<void> {
    if (!this.isRunning) return
    if (this.#paused) this.#child.kill('SIGCONT')
    this.#child.kill('SIGKILL')
    await this.#exited
  }
}

async function fetchStatus(url: string): Promise<number> {
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

  /** Runs a command and waits for its exit. */
  async run(options: ProcessOptions): Promise<{ status: number | NodeJS.Signals; stdout: string; stderr: string }> {
    const process = this.start(options)
    const status = await process.waitForExit()
    return { status, stdout: process.stdout, stderr: process.stderr }
  }

  onEnd(cleanup: () => void | Promise<void>): void {
    this.#cleanups.push(cleanup)
  }

  /** Runs all cleanups in reverse order, which ends every process, and removes the folder even if a cleanup fails. */
  async end(): Promise<void> {
    const ended = await Promise.allSettled(this.#cleanups.reverse().map(async (cleanup) => cleanup()))
    if (existsSync(this.folder)) await rm(this.folder, { recursive: true, force: true })
    const failed = ended.find((result) => result.status === 'rejected')
    if (failed !== undefined) throw new Error('a cleanup of the test failed', { cause: failed.reason })
  }
}
