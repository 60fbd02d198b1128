/** Runs a node until a signal, an operator request or a failure stops it. */
import { resultCode, type CodeName } from '@bilberrystall/base'
import { readSettings, startNode } from '@bilberrystall/node'
import { platformAdapter } from '@bilberrystall/platform'
import { Command, Option } from 'clipanion'
import { ok } from 'neverthrow'
import { OutputCommand } from './command-base'
import { SettingsWatcher } from './settings-watcher'

export class Run extends OutputCommand {
  static override paths = [['run']]
  static override usage = Command.Usage({
    category: 'Start',
    description: 'run one node of the system',
    details: 'SIGTERM and SIGINT shut the node down without interrupting calls in flight.',
    examples: [['Run a node', '$0 run settings.ini']],
  })

  file = Option.String({ name: 'settings.ini' })

  override async execute(): Promise<number> {
    const settings = readSettings(this.file)
    if (settings.isErr()) return this.fail(settings.error)
    const stopTrigger = createStopTrigger()
    const { platform } = settings.value
    const adapter = platform === undefined ? ok(undefined) : platformAdapter(platform)
    if (adapter.isErr()) return this.fail(adapter.error)
    const options = adapter.value === undefined ? {} : { adapter: adapter.value }
    const node = await startNode(settings.value, { onStopRequired: stopTrigger.stop, ...options })
    if (node.isErr()) return this.fail(node.error)
    const watcher = new SettingsWatcher({
      file: this.file,
      onChange: (changed) => {
        node.value.reload(changed)
      },
      onInvalid: (cause) => {
        node.value.log.error(cause.code, { message: cause.message })
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

interface StopTrigger {
  readonly reason: Promise<CodeName>
  readonly stop: (code: CodeName) => void
}

function createStopTrigger(): StopTrigger {
  let stop: (code: CodeName) => void = () => undefined
  const reason = new Promise<CodeName>((resolve) => {
    stop = resolve
  })
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    // Not `once`: a second signal without a handler would terminate the process during its shutdown.
    process.on(signal, () => {
      stop('nodeLeaving')
    })
  }
  return { reason, stop }
}
