/** Runs one node until a signal, a request of an operator or a failure ends it. */
import { resultCode, type CodeName } from '@bilberrystall/base'
import { readSettings, startNode } from '@bilberrystall/node'
import { Command, Option } from 'clipanion'
import { OutputCommand } from './command-base'

export class Run extends OutputCommand {
  static override paths = [['run']]
  static override usage = Command.Usage({
    category: 'Start',
    description: 'run one node of the system',
    details: 'Runs until SIGTERM or SIGINT, which shut the node down without interrupting calls in flight.',
    examples: [['Run a node', '$0 run settings.ini']],
  })

  file = Option.String({ name: 'settings.ini' })

  override async execute(): Promise<number> {
    const settings = readSettings(this.file)
    if (settings.isErr()) return this.fail(settings.error)
    const ended = endOfProcess()
    const node = await startNode(settings.value, { onEnd: ended.end })
    if (node.isErr()) return this.fail(node.error)
    const reason = await ended.reason
    const stopped = await node.value.stop()
    // A failure that ended the node says more than the result of its shutdown.
    const code: CodeName = reason === 'nodeLeaving' ? stopped : reason
    return resultCode(code).number
  }
}

interface EndOfProcess {
  readonly reason: Promise<CodeName>
  readonly end: (code: CodeName) => void
}

function endOfProcess(): EndOfProcess {
  let end: (code: CodeName) => void = () => undefined
  const reason = new Promise<CodeName>((resolve) => {
    end = resolve
  })
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => {
      end('nodeLeaving')
    })
  }
  return { reason, end }
}
