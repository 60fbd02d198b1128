/** Runs policies in child processes of the same script. Results do not depend on which process runs a policy. */
import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { runPolicy, type PolicyName, type Scenario } from './comparison'
import type { RunStatistics } from './measurements'
import type { Variant } from './plan'

export interface PolicyRun {
  readonly scenario: Scenario
  readonly policy: PolicyName
  readonly variant?: Variant
}

interface RunRequest {
  readonly index: number
  readonly run: PolicyRun
}

interface RunResponse {
  readonly index: number
  readonly statistics: RunStatistics
}

const CHILD_PROCESSES = 4

/** Handles run requests if this process is a child process. Returns false in the main process. */
export function serveIfChildProcess(): boolean {
  if (process.send === undefined) return false
  process.on('message', ({ index, run }: RunRequest) => {
    const statistics = runPolicy(run.scenario, run.policy, run.variant?.tuning)
    process.send?.({ index, statistics } satisfies RunResponse)
  })
  return true
}

/** Returns the statistics in the order of the runs. */
export async function runInChildProcesses(
  runs: readonly PolicyRun[],
  script: string,
): Promise<readonly RunStatistics[]> {
  const results: RunStatistics[] = []
  let nextRun = 0
  const runChild = (): Promise<void> =>
    new Promise((resolve, reject) => {
      // The tuning of a variant can contain Infinity, which JSON cannot represent but structured cloning can.
      const child = fork(fileURLToPath(script), [], { serialization: 'advanced' })
      const sendNextRun = (): void => {
        const run = runs[nextRun]
        if (run === undefined) child.disconnect()
        else child.send({ index: nextRun++, run } satisfies RunRequest)
      }
      child.on('message', ({ index, statistics }: RunResponse) => {
        results[index] = statistics
        sendNextRun()
      })
      child.on('error', reject)
      child.on('exit', (code) => {
        if (code === 0) resolve()
        else reject(new Error(`child process exited with status ${String(code)}`))
      })
      sendNextRun()
    })
  await Promise.all(Array.from({ length: CHILD_PROCESSES }, runChild))
  return results
}
