/**
 * Preloaded into the processes of nodes: sets the wall clock of one process apart from that of the others, as on a VM
 * whose clock was stepped before the process started. Timers and monotonic time stay.
 */
import { CLOCK_OFFSET_VARIABLE } from './preload-variables'

const offsetMs = Number(process.env[CLOCK_OFFSET_VARIABLE] ?? 0)
const SystemDate = Date

class OffsetDate extends SystemDate {
  constructor(...args: [] | ConstructorParameters<typeof Date>) {
    if (args.length === 0) super(SystemDate.now() + offsetMs)
    else super(...args)
  }

  static override now(): number {
    return SystemDate.now() + offsetMs
  }
}

if (offsetMs !== 0) globalThis.Date = OffsetDate as DateConstructor
