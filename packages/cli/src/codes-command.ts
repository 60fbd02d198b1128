/** Prints the table of result codes, which are also the exit statuses of this binary. */
import { renderResultCodes, RESULT_CODES } from '@bilberrystall/base'
import { Command } from 'clipanion'
import { OutputCommand } from './command-base'

export class Codes extends OutputCommand {
  static override paths = [['codes']]
  static override usage = Command.Usage({
    category: 'Reference',
    description: 'list the result codes of responses, log lines and exit statuses',
  })

  override execute(): Promise<number> {
    this.print(Object.values(RESULT_CODES), renderResultCodes())
    return Promise.resolve(0)
  }
}
