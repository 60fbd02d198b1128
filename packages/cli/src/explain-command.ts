/** Explains a failed call from log files. The call is identified by the attempt id that the caller sent. */
import { failure } from '@bilberrystall/base'
import { Command, Option } from 'clipanion'
import { err, ok } from 'neverthrow'
import { OutputCommand, readTextFile } from './command-base'
import { explainAttempt, parseLog, type ExplainedCall, type LogLine } from './explanation'

export class Explain extends OutputCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    category: 'Reference',
    description: 'explain a failed call from the log files of several nodes',
    details:
      'Prints the log line of the call, the responses to it that were refused, the state of its node at that time, and events of the servers it was sent to.',
    examples: [['Explain an attempt', '$0 explain 9c41d07be2a35f68 entry-1.log entry-2.log control-1.log']],
  })

  attempt = Option.String({ name: 'attempt' })
  files = Option.Rest({ name: 'file', required: 1 })

  override async execute(): Promise<number> {
    const lines: LogLine[] = []
    let skipped = 0
    for (const file of this.files) {
      const text = await readTextFile(file)
      if (text.isErr()) return this.fail(text.error)
      const parsed = parseLog(text.value)
      lines.push(...parsed.lines)
      skipped += parsed.skipped
    }
    if (skipped > 0) this.printNote(`skipped ${skipped} lines that are not log lines of this program`)
    const calls = explainAttempt(lines, this.attempt)
    const result = calls.length > 0 ? ok(calls) : err(failure('notFound', `no log line about attempt ${this.attempt}`))
    return this.printResult(result, (explained) => explained.map(formatCall).join('\n'))
  }
}

function formatCall({ call, refusals, beliefs, servers }: ExplainedCall): string {
  return [
    `attempt ${call.attempt ?? ''} at ${call.node}: ${call.result ?? ''} after ${call.ms ?? 0} ms`,
    `  ${formatLine(call)}`,
    ...(refusals.length === 0 ? [] : ['  refused responses to it:', ...formatLines(refusals)]),
    '  state of the node:',
    ...formatLines(beliefs),
    '  events of the servers it was sent to:',
    ...formatLines(servers),
    '',
  ].join('\n')
}

function formatLines(lines: readonly LogLine[]): readonly string[] {
  return lines.length === 0 ? ['    no log lines'] : lines.map((line) => `    ${formatLine(line)}`)
}

function formatLine({ time, node, event, code: _, level: __, ...rest }: LogLine): string {
  const fields = Object.entries(rest).map(
    ([key, value]) => `${key}=${Array.isArray(value) ? value.join(',') : String(value)}`,
  )
  return [time, node, event, ...fields].join(' ')
}
