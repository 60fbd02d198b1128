/** Checks a settings file without starting a node. */
import { readSettings } from '@bilberrystall/node'
import { Command, Option } from 'clipanion'
import { OutputCommand } from './command-base'

export class SettingsCheck extends OutputCommand {
  static override paths = [['settings', 'check']]
  static override usage = Command.Usage({
    category: 'Start',
    description: 'check a settings file and the key files it refers to',
    details: 'Lists every fault with section, key and reason. The exit status is 100 if there is one.',
    examples: [['Check before a restart', '$0 settings check settings.ini']],
  })

  file = Option.String({ name: 'settings.ini' })

  override execute(): Promise<number> {
    const result = readSettings(this.file)
    if (result.isErr()) return Promise.resolve(this.fail(result.error))
    const { node, roles } = result.value
    this.print({ node, roles }, `${this.file} is valid: node ${node} with ${roles.join(' and ')}\n`)
    return Promise.resolve(0)
  }
}
