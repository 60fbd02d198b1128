/** Registers and runs the commands of the binary. */
import { RESULT_CODES } from '@bilberrystall/base'
import { Builtins, Cli, type BaseContext } from 'clipanion'
import { Codes } from './codes-command'
import { EvacuationEnd, EvacuationList, EvacuationStart } from './evacuation-commands'
import { Explain } from './explain-command'
import {
  DocumentCheck,
  DocumentHistory,
  DocumentPromote,
  DocumentShow,
  DocumentStatus,
  DocumentSubmit,
} from './document-commands'
import { New } from './new-command'
import { Run } from './run-command'
import { SettingsCheck } from './settings-commands'
import { QuarantineList, QuarantineRelease } from './quarantine-commands'
import { Audit, NodeDrain, NodeReplace, Nodes, Servers, Status } from './node-commands'

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  New,
  Run,
  SettingsCheck,
  DocumentCheck,
  DocumentSubmit,
  DocumentPromote,
  DocumentShow,
  DocumentStatus,
  DocumentHistory,
  Audit,
  Nodes,
  Servers,
  Status,
  NodeDrain,
  NodeReplace,
  QuarantineList,
  QuarantineRelease,
  EvacuationList,
  EvacuationStart,
  EvacuationEnd,
  Codes,
  Explain,
]

export const VERSION = '0.1.0'

/** Runs one command and returns its exit status. */
export async function runCli(args: readonly string[], context?: Partial<BaseContext>): Promise<number> {
  const cli = new Cli({ binaryLabel: 'Bilberrystall', binaryName: 'bilberrystall', binaryVersion: VERSION })
  for (const command of COMMANDS) cli.register(command)
  const fullContext = { ...Cli.defaultContext, ...context }
  try {
    const command = cli.process([...args], fullContext)
    return await cli.run(command, fullContext)
  } catch (cause) {
    fullContext.stderr.write(cli.error(cause))
    return RESULT_CODES.usage.number
  }
}
