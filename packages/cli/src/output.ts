/** Output formats of the commands: aligned tables and text for people, JSON for scripts. */
import { formatFault, resultCode, type Failure } from '@bilberrystall/base'
import type { OperatorFailure } from './operator-client'

export interface Column<Row> {
  readonly title: string
  readonly value: (row: Row) => string | number | undefined
}

export function formatTable<Row>(columns: readonly Column<Row>[], rows: readonly Row[]): string {
  const cells = [
    columns.map((column) => column.title),
    ...rows.map((row) => columns.map((column) => String(column.value(row) ?? '-'))),
  ]
  const widths = columns.map((_, index) => Math.max(...cells.map((row) => row[index]?.length ?? 0)))
  const lines = cells.map((row) => row.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  '))
  return `${lines.map((line) => line.trimEnd()).join('\n')}\n`
}

export function formatJson(value: unknown): string {
  return `${JSON.stringify(value, undefined, 2)}\n`
}

export function formatTime(ms: number): string {
  return new Date(ms).toISOString()
}

/** Shortens a digest to a prefix that is long enough to compare by eye. */
export function shortDigest(digest: string): string {
  return digest.slice(0, 12)
}

export function formatFailure(cause: OperatorFailure | Failure): string {
  const { number, name } = resultCode(cause.code)
  const faults = problemDocument(cause)?.faults ?? []
  return [`error ${number} ${name}: ${cause.message}`, ...faults.map((fault) => `  ${formatFault(fault)}`), ''].join(
    '\n',
  )
}

export function failureJson(cause: OperatorFailure | Failure): unknown {
  const { number, name } = resultCode(cause.code)
  const problem = problemDocument(cause)
  return { error: { code: number, name, message: cause.message, ...(problem === undefined ? {} : { problem }) } }
}

function problemDocument(cause: OperatorFailure | Failure): OperatorFailure['problem'] {
  return (cause as OperatorFailure).problem
}
