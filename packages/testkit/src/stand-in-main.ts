/** Process of one stand-in server. The only argument is its options as JSON; prints its addresses when it serves. */
import { StandIn, type StandInOptions } from './stand-in'

const standIn = new StandIn(JSON.parse(process.argv[2] ?? '{}') as StandInOptions)
void standIn.start().then(() => {
  process.stdout.write(`${JSON.stringify({ address: standIn.address, control: standIn.controlAddress })}\n`)
})
process.on('SIGTERM', () => {
  void standIn.stop().then(() => process.exit(0))
})
