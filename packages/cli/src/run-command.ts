/** Runs a node until a signal, an operator request or a failure stops it. */
import { errorMessage, resultCode, type CodeName } from '@bilberrystall/base'
import { readSettings, startNode } from '@bilberrystall/node'
import { platformAdapter } from '@bilberrystall/platform'
import { Command, Option } from 'clipanion'
import { ok } from 'neverthrow'
import { setTimeout as sleep } from 'node:timers/promises'
import { OutputCommand } from './command-base'
import { SettingsWatcher } from './settings-watcher'
import { UnexpectedErrors } from './unexpected-errors'

/** Time that a start in progress has to end after a signal, so that its data folder is closed in order. */
const START_LIMIT_AFTER_SIGNAL_MS = 1_000

export class Run extends OutputCommand {
  static override paths = [['run']]
  static override usage = Command.Usage({
    category: 'Start',
    description: 'run one node of the system',
    details:
      'SIGTERM and SIGINT shut the node down without interrupting calls in flight. A second signal ends the process ' +
      'immediately with status 106.',
    examples: [['Run a node', '$0 run settings.ini']],
  })

  file = Option.String({ name: 'settings.ini' })

  override async execute(): Promise<number> {
    const settings = readSettings(this.file)
    if (settings.isErr()) return this.fail(settings.error)
    const stopTrigger = createStopTrigger(() => process.exit(resultCode('stopForced').number))
    const { platform } = settings.value
    const adapter = platform === undefined ? ok(undefined) : platformAdapter(platform)
    if (adapter.isErr()) return this.fail(adapter.error)
    const options = adapter.value === undefined ? {} : { adapter: adapter.value }
    const starting = startNode(settings.value, { onStopRequired: stopTrigger.stop, ...options })
    const node = await Promise.race([starting, stoppedDuringStart(stopTrigger)])
    if (node === undefined) return resultCode('stopLimit').number
    if (node.isErr()) return this.fail(node.error)
    const { log } = node.value
    new UnexpectedErrors({
      now: () => performance.now(),
      onError: (cause) => {
        log.error('unexpectedError', { message: errorMessage(cause), stack: firstFrame(cause) })
      },
      onTooMany: () => {
        stopTrigger.stop('unexpectedError')
      },
    }).install()
    const watcher = new SettingsWatcher({
      file: this.file,
      onChange: (changed) => {
        node.value.reload(changed)
      },
      onInvalid: (cause) => {
        log.error(cause.code, { message: cause.message })
      },
    })
    watcher.start()
    const reason = await stopTrigger.reason
    watcher.stop()
    const stopped = await node.value.stop()
    // If the node stopped because of a failure, report that failure and not the result of the shutdown.
    const code: CodeName = reason === 'nodeLeaving' ? stopped : reason
    return resultCode(code).number
  }
}

/** Resolves some time after a signal, for a node that is stopped while its start does not end. */
async function stoppedDuringStart({ reason }: StopTrigger): Promise<undefined> {
  await reason
  await sleep(START_LIMIT_AFTER_SIGNAL_MS)
}

/** Place in the program at which the error was created. */
function firstFrame(cause: unknown): string {
  const lines = cause instanceof Error ? (cause.stack ?? '').split('\n') : []
  return lines.find((line) => line.trimStart().startsWith('at '))?.trim() ?? ''
}

interface StopTrigger {
  readonly reason: Promise<CodeName>
  readonly stop: (code: CodeName) => void
}

/** Second signals within this time are ignored, because service managers may deliver one to a whole process group. */
const REPEATED_SIGNAL_MS = 500

/** `onForced` is called on a signal that follows an earlier one, unless it follows at once. */
function createStopTrigger(onForced: () => void): StopTrigger {
  let stop: (code: CodeName) => void = () => undefined
  const reason = new Promise<CodeName>((resolve) => {
    stop = resolve
  })
  let signalledAt: number | undefined
  const onSignal = (): void => {
    const now = performance.now()
    if (signalledAt === undefined) {
      signalledAt = now
      stop('nodeLeaving')
    } else if (now - signalledAt >= REPEATED_SIGNAL_MS) onForced()
  }
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.on(signal, onSignal)
  return { reason, stop }
}
