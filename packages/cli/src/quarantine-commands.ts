/** Commands for requests that are withheld from servers because they crashed some. */
import { Command, Option } from 'clipanion'
import { NodeCommand } from './command-base'
import { objectSchema, quarantineSchema } from './operator-api'
import { formatTable, formatTime } from './output'

const CATEGORY = 'System'

export class QuarantineList extends NodeCommand {
  static override paths = [['quarantine']]
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'list the requests that are withheld from servers',
    details: `
      A request is withheld after it has crashed three servers. Log lines of failed calls name its id as \`request\`.
    `,
  })

  override execute(): Promise<number> {
    return this.request(
      (client) => client.get('/v1/quarantine', quarantineSchema),
      ({ requests }) =>
        formatTable(
          [
            { title: 'REQUEST', value: (row) => row.request },
            { title: 'LAST CRASH', value: (row) => formatTime(row.lastCrash) },
            { title: 'UNTIL', value: (row) => formatTime(row.until) },
            { title: 'SERVERS', value: (row) => row.servers.join(', ') },
          ],
          requests,
        ),
    )
  }
}

export class QuarantineRelease extends NodeCommand {
  static override paths = [['quarantine', 'release']]
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'let a withheld request reach servers again',
    examples: [['Release a request after its cause was fixed', '$0 quarantine release 4AtFdtRpUoFZ-aNa']],
  })

  name = Option.String({ name: 'request' })

  override execute(): Promise<number> {
    return this.request(
      (client) => client.post(`/v1/quarantine/${encodeURIComponent(this.name)}/release`, objectSchema),
      () => `request ${this.name} is released\n`,
    )
  }
}
