import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    // Integration tests start real processes; a low worker count keeps their timing apart from each other.
    maxWorkers: 4,
    // The ESM build of clipanion imports a folder, which Node refuses and Vite resolves.
    server: { deps: { inline: ['clipanion'] } },
    testTimeout: 60_000,
    hookTimeout: 60_000,
    reporters: ['default', './scripts/summary-reporter.ts'],
  },
})
