/** Options to bundle the program to one CommonJS file, both for the binary and for service managers. */
import type { BuildOptions } from 'esbuild'

export const BUNDLE: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Prefer ESM builds, because UMD builds of some libraries resolve modules at run time.
  mainFields: ['module', 'main'],
  legalComments: 'none',
}
