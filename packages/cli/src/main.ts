/** Entry point of the binary. */
import { runCli } from './cli'

// Exit explicitly, because idle connections and timers of libraries would keep the process alive.
void runCli(process.argv.slice(2)).then((status) => process.exit(status))
