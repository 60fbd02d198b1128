/** Load command: the only argument is its options as JSON; prints the report as JSON. */
import { runLoad, type LoadOptions } from './load'

const report = await runLoad(JSON.parse(process.argv[2] ?? '{}') as LoadOptions)
process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`)
