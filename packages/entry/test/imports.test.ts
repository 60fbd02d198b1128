import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import { expect, test } from 'vitest'

// Guards the CPU time of a start, of which the parts of undici that a node does not use took a seventh.
test('the entry imports the client of undici without its other parts', async () => {
  const entryPoint = fileURLToPath(new URL('../src/index.ts', import.meta.url))
  const { metafile } = await build({
    entryPoints: [entryPoint],
    bundle: true,
    platform: 'node',
    mainFields: ['module', 'main'],
    metafile: true,
    write: false,
  })
  const modules = Object.keys(metafile.inputs).filter((path) => path.includes('node_modules/undici/'))
  expect(modules.some((path) => path.endsWith('lib/dispatcher/client.js'))).toBe(true)
  expect(modules.filter((path) => path.endsWith('undici/index.js') || path.includes('/web/websocket/'))).toEqual([])
})
