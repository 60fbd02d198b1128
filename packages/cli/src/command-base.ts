/** Base classes of the commands: `--json`, exit statuses of failures, and the options to connect to a node. */
import { readFile } from 'node:fs/promises'
import { errorMessage, failure, parseDuration, resultCode, type Failure } from '@bilberrystall/base'
import { Command, Option } from 'clipanion'
import { err, ok, type Result } from 'neverthrow'
import { OperatorClient, type OperatorFailure } from './operator-client'
import { failureJson, formatFailure, formatJson } from './output'

const DEFAULT_NODE = '127.0.0.1:8003'
const DEFAULT_KEY_FILE = 'operator.key'

export abstract class OutputCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'print JSON for scripts' })

  /** Prints `value` as JSON if `--json` is set, otherwise prints `text`. */
  protected print(value: unknown, text: string): void {
    this.context.stdout.write(this.json ? formatJson(value) : text)
  }

  /** Prints a message to stderr unless `--json` is set. */
  protected printNote(text: string): void {
    if (!this.json) this.context.stderr.write(`${text}\n`)
  }

  /** Prints the failure and returns the exit status for it. */
  protected fail(cause: OperatorFailure | Failure): number {
    if (this.json) this.context.stdout.write(formatJson(failureJson(cause)))
    else this.context.stderr.write(formatFailure(cause))
    return resultCode(cause.code).number
  }

  /** Prints the result and returns the exit status for it. */
  protected printResult<T>(result: Result<T, OperatorFailure | Failure>, text: (value: T) => string): number {
    if (result.isErr()) return this.fail(result.error)
    this.print(result.value, text(result.value))
    return 0
  }
}

export abstract class NodeCommand extends OutputCommand {
  nodes = Option.String('--node', process.env.BILBERRYSTALL_NODE ?? DEFAULT_NODE, {
    description: 'operator listeners, separated by commas; the next one is used when one does not respond',
  })
  keyFile = Option.String('--key-file', process.env.BILBERRYSTALL_KEY_FILE ?? DEFAULT_KEY_FILE, {
    description: "file with the operator's key",
  })

  protected client(): Promise<Result<OperatorClient, Failure>> {
    return OperatorClient.create({ nodes: this.nodes.split(',').map((node) => node.trim()), keyFile: this.keyFile })
  }

  /** Sends a request, prints its result and returns the exit status for it. */
  protected async request<T>(
    send: (client: OperatorClient) => Promise<Result<T, OperatorFailure | Failure>>,
    text: (value: T) => string,
  ): Promise<number> {
    const client = await this.client()
    const result: Result<T, OperatorFailure | Failure> = client.isOk() ? await send(client.value) : err(client.error)
    return this.printResult(result, text)
  }
}

export async function readTextFile(path: string): Promise<Result<string, Failure>> {
  return (await readFileBytes(path)).map((bytes) => bytes.toString('utf8'))
}

export async function readFileBytes(path: string): Promise<Result<Buffer, Failure>> {
  try {
    return ok(await readFile(path))
  } catch (cause) {
    return err(failure('fileUnreadable', errorMessage(cause)))
  }
}

export function parseDurationOption(text: string): Result<number, Failure> {
  const ms = parseDuration(text)
  return ms === undefined ? err(failure('usage', `${text} is not a duration such as 10s`)) : ok(ms)
}
