/** Options to bundle the program to one CommonJS file, both for the binary and for service managers. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { BuildOptions, Plugin } from 'esbuild'

const ASSERT_FILE = fileURLToPath(new URL('../packages/cli/src/assert.ts', import.meta.url))
const ASSERT_NAMESPACE = 'assert'

/** Replaces `node:assert` by a module whose failed assertions do not parse the bundle. */
const assertPlugin: Plugin = {
  name: 'assert',
  setup: (build) => {
    build.onResolve({ filter: /^(node:)?assert(\/strict)?$/ }, ({ importer, path }) =>
      importer === ASSERT_FILE ? undefined : { path, namespace: ASSERT_NAMESPACE },
    )
    // Libraries expect that `require` returns a function, which a TypeScript module of this package cannot export.
    build.onLoad({ filter: /.*/, namespace: ASSERT_NAMESPACE }, () => ({
      contents: `module.exports = require(${JSON.stringify(ASSERT_FILE)}).assert`,
      resolveDir: dirname(ASSERT_FILE),
    }))
  },
}

export const BUNDLE: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Prefer ESM builds, because UMD builds of some libraries resolve modules at run time.
  mainFields: ['module', 'main'],
  legalComments: 'none',
  plugins: [assertPlugin],
}

/** Bundle for service managers that run Node.js themselves. */
export const SERVICE_BUNDLE: BuildOptions = { ...BUNDLE, minifyWhitespace: true, minifySyntax: true }
