/** Command of the load generator. Its only argument is `LoadOptions` as JSON; it prints the summary as JSON. */
import { runLoad, type LoadOptions } from './load'

void runLoad(JSON.parse(process.argv[2] ?? '{}') as LoadOptions).then((summary) => {
  process.stdout.write(`${JSON.stringify(summary, undefined, 2)}\n`)
})
