/** Commands for failure domains whose servers receive nothing. */
import { Command, Option } from 'clipanion'
import { NodeCommand } from './command-base'
import { evacuationsSchema, objectSchema } from './operator-api'
import { formatTable, formatTime } from './output'

const CATEGORY = 'System'

export class EvacuationList extends NodeCommand {
  static override paths = [['evacuation']]
  static override usage = Command.Usage({ category: CATEGORY, description: 'list the evacuated failure domains' })

  override execute(): Promise<number> {
    return this.request(
      (client) => client.get('/v1/evacuations', evacuationsSchema),
      ({ domains }) =>
        formatTable(
          [
            { title: 'DOMAIN', value: (row) => row.domain },
            { title: 'SINCE', value: (row) => formatTime(row.at) },
            { title: 'REQUESTER', value: (row) => row.requester },
          ],
          domains,
        ),
    )
  }
}

abstract class EvacuationOrder extends NodeCommand {
  domain = Option.String({ name: 'domain' })

  protected postOrder(action: 'start' | 'end', outcome: string): Promise<number> {
    const path = `/v1/evacuations/${encodeURIComponent(this.domain)}/${action}`
    return this.request(
      (client) => client.post(path, objectSchema),
      () => `failure domain ${this.domain} ${outcome}\n`,
    )
  }
}

export class EvacuationStart extends EvacuationOrder {
  static override paths = [['evacuation', 'start']]
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'send nothing more to the servers of a failure domain',
    details: `
      Calls in flight end normally. If a service has no server in another failure domain, its calls are rejected. The
      name is not compared with the known servers, so check it with the command servers.
    `,
    examples: [['Evacuate a failure domain before maintenance', '$0 evacuation start fd-1']],
  })

  override execute(): Promise<number> {
    return this.postOrder('start', 'is evacuated')
  }
}

export class EvacuationEnd extends EvacuationOrder {
  static override paths = [['evacuation', 'end']]
  static override usage = Command.Usage({
    category: CATEGORY,
    description: 'use the servers of an evacuated failure domain again',
    examples: [['End the evacuation of a failure domain', '$0 evacuation end fd-1']],
  })

  override execute(): Promise<number> {
    return this.postOrder('end', 'is used again')
  }
}
