import { defineConfig, mergeConfig } from 'vitest/config'
import base from './vitest.config'

/** Runs the tests that KNOWN-RED.txt lists as failing. */
export default mergeConfig(
  { ...base, test: { ...base.test, include: [] } },
  defineConfig({ test: { include: ['packages/*/test/**/*.red.ts', 'platform/test/**/*.red.ts'] } }),
)
