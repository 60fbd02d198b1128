/** Runs jobs in a few child processes of the same script. Results do not depend on how the jobs are spread. */
import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { runPolicy, type PolicyName, type Scenario } from './comparison'
import type { Figures } from './measurements'
import type { Variant } from './plan'

export interface Work {
  readonly scenario: Scenario
  readonly policy: PolicyName
  readonly variant?: Variant
}

interface Task {
  readonly index: number
  readonly work: Work
}

interface Answer {
  readonly index: number
  readonly figures: Figures
}

const CHILDREN = 4

/** Serves tasks when this process is a child; otherwise does nothing. */
export function serveAsChild(): boolean {
  if (process.send === undefined) return false
  process.on('message', ({ index, work }: Task) => {
    const figures = runPolicy(work.scenario, work.policy, work.variant?.tuning)
    process.send?.({ index, figures } satisfies Answer)
  })
  return true
}

/** Figures in the order of the jobs. */
export async function runAll(jobs: readonly Work[], script: string): Promise<readonly Figures[]> {
  const results: Figures[] = []
  let next = 0
  const runChild = (): Promise<void> =>
    new Promise((resolve, reject) => {
      // Infinite constants of a variant survive only structured cloning.
      const child = fork(fileURLToPath(script), [], { serialization: 'advanced' })
      const give = (): void => {
        const work = jobs[next]
        if (work === undefined) child.disconnect()
        else child.send({ index: next++, work } satisfies Task)
      }
      child.on('message', ({ index, figures }: Answer) => {
        results[index] = figures
        give()
      })
      child.on('error', reject)
      child.on('exit', (code) => {
        if (code === 0) resolve()
        else reject(new Error(`a measuring process ended with ${String(code)}`))
      })
      give()
    })
  await Promise.all(Array.from({ length: CHILDREN }, runChild))
  return results
}
