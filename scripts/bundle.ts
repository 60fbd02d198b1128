/** How the program is bundled to one CommonJS file, for the binary and for service managers alike. */
import type { BuildOptions } from 'esbuild'

export const BUNDLE: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // UMD builds of some libraries look up modules at run time; their ESM builds do not.
  mainFields: ['module', 'main'],
  legalComments: 'none',
}
