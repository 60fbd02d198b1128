/** Creates a folder with example settings, keys and a document. */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { errorMessage, failure } from '@bilberrystall/base'
import { Command, Option } from 'clipanion'
import { OutputCommand } from './command-base'
import { EXAMPLE_DOCUMENT, exampleSettings, generateKeys, formatOperatorKeys } from './example'

/** Only the owner may read and write key files. */
const KEY_MODE = 0o600

export class New extends OutputCommand {
  static override paths = [['new']]
  static override usage = Command.Usage({
    category: 'Start',
    description: 'write example settings, keys and a document into a folder',
    details: 'The example is one process that serves callers and stores documents. Existing files are not overwritten.',
    examples: [['Prepare a first start', '$0 new example']],
  })

  folder = Option.String({ name: 'folder' })

  override async execute(): Promise<number> {
    const keys = generateKeys()
    const files: Record<string, string> = {
      'settings.ini': exampleSettings(),
      'document.ini': EXAMPLE_DOCUMENT,
      'node.key': `${keys.node}\n`,
      'server.key': `${keys.server}\n`,
      'operator.key': `${keys.operator}\n`,
      'operator.keys': formatOperatorKeys({ operator: keys.operator }),
    }
    try {
      await mkdir(this.folder, { recursive: true })
      for (const [name, text] of Object.entries(files)) {
        const mode = name.endsWith('.key') ? KEY_MODE : undefined
        await writeFile(join(this.folder, name), text, { flag: 'wx', ...(mode === undefined ? {} : { mode }) })
      }
    } catch (cause) {
      return this.fail(failure('folderUnusable', errorMessage(cause)))
    }
    this.print({ folder: this.folder, files: Object.keys(files) }, this.#nextSteps(Object.keys(files)))
    return 0
  }

  #nextSteps(files: readonly string[]): string {
    const lines = [
      `Wrote ${files.join(', ')} to ${this.folder}.`,
      'Next steps:',
      `  cd ${this.folder}`,
      '  bilberrystall run settings.ini',
      '  bilberrystall document submit document.ini --environment trial',
      '  bilberrystall document status --environment trial --wait 11s',
    ]
    return `${lines.join('\n')}\n`
  }
}
