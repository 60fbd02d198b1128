/**
 * Log of state changes. Every line has a result code; regular operation is covered by metrics. Lines are written as
 * JSON unless standard error is a terminal.
 */
import { resultCode, type CodeName } from '@bilberrystall/base'
import { createConsola, LogLevels, type ConsolaInstance, type LogObject } from 'consola'
import { LogOutput, type LineWriter } from './log-output'

/** consola drops lines that it takes for repetitions, and does not compare our fields. */
const CONSOLA_OPTIONS = { level: LogLevels.info, throttle: 0 }

export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[]>>

export interface Log {
  info(code: CodeName, fields?: LogFields): void
  warn(code: CodeName, fields?: LogFields): void
  error(code: CodeName, fields?: LogFields): void
}

export interface LogOptions {
  readonly node: string
  readonly terminal?: boolean
}

export function createLog(options: LogOptions): Log {
  const terminal = options.terminal ?? process.stderr.isTTY
  const logOutput = new LogOutput(writeToStderr, (lostLines) => {
    write('warn', 'logLinesLost', { count: lostLines })
  })
  const output = terminal ? createConsola({ ...CONSOLA_OPTIONS, stdout: process.stderr }) : jsonConsola(logOutput)
  const write = (level: 'info' | 'warn' | 'error', code: CodeName, fields: LogFields) => {
    const entry = resultCode(code)
    output[level]({ message: entry.name, code: entry.number, node: options.node, fields })
  }
  return {
    info: (code, fields = {}) => {
      write('info', code, fields)
    },
    warn: (code, fields = {}) => {
      write('warn', code, fields)
    },
    error: (code, fields = {}) => {
      write('error', code, fields)
    },
  }
}

function jsonConsola(output: LogOutput): ConsolaInstance {
  const log = (entry: LogObject): void => {
    output.write(`${formatLine(entry)}\n`)
  }
  return createConsola({ ...CONSOLA_OPTIONS, reporters: [{ log }] })
}

let ignoresErrors = false

const writeToStderr: LineWriter = (text, done) => {
  // Without a listener the error of a refused write would end the process.
  if (!ignoresErrors) process.stderr.on('error', () => undefined)
  ignoresErrors = true
  process.stderr.write(text, done)
}

function formatLine(entry: LogObject): string {
  const { code, node, fields } = entry as LogObject & Record<string, unknown>
  const line = {
    time: entry.date.toISOString(),
    level: entry.type,
    code,
    event: entry.args[0] as string,
    node,
    ...(fields as object),
  }
  return JSON.stringify(line)
}
