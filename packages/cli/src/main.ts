/** Entry point of the binary. */
import { runCli } from './cli'

// An explicit exit, because idle connections and timers of libraries must not keep a stopped process alive.
void runCli(process.argv.slice(2)).then((status) => process.exit(status))
