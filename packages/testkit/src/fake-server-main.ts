/** Runs a fake server. The only argument is its options as JSON; prints its addresses once it is listening. */
import { FakeServer, type FakeServerOptions } from './fake-server'

const server = new FakeServer(JSON.parse(process.argv[2] ?? '{}') as FakeServerOptions)
void server.start().then(() => {
  process.stdout.write(`${JSON.stringify({ address: server.address, control: server.controlAddress })}\n`)
})
process.on('SIGTERM', () => {
  void server.stop().then(() => process.exit(0))
})
