/** Vitest reporter that prints a last line for CI: `N passed, N failed`. */
import type { Reporter, TestModule } from 'vitest/node'

export default class SummaryReporter implements Reporter {
  onTestRunEnd(modules: readonly TestModule[], errors: readonly unknown[]): void {
    let passed = 0
    let failed = errors.length
    for (const module of modules) {
      failed += module.errors().length
      for (const test of module.children.allTests()) {
        const { state } = test.result()
        if (state === 'passed') passed += 1
        if (state === 'failed') failed += 1
      }
    }
    process.on('exit', () => {
      process.stdout.write(`${passed} passed, ${failed} failed\n`)
    })
  }
}
