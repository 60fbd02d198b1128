/**
 * Explains a failed call from the log lines of several nodes: the line about the call itself, what its node believed at
 * that moment, and what the nodes saw of the servers that it was sent to. No I/O; lines are passed in as text.
 */
import { z } from 'zod'

/** Lines about servers up to this long after the call ended belong to its explanation: ejections and expiries follow. */
const AFTERMATH_MS = 5_000
/** Lines about servers this long before the call began may be its cause. */
const HISTORY_MS = 10_000

const lineSchema = z.looseObject({
  time: z.iso.datetime(),
  event: z.string(),
  node: z.string(),
  attempt: z.string().optional(),
  result: z.string().optional(),
  server: z.string().optional(),
  servers: z.array(z.string()).optional(),
  ms: z.number().optional(),
})

export type LogLine = z.infer<typeof lineSchema>

export interface LogRead {
  readonly lines: readonly LogLine[]
  /** Lines that are no log lines of this program: cut off, damaged or written by something else. */
  readonly skipped: number
}

/** One failed call, as its node logged it. */
export interface ExplainedCall {
  readonly call: LogLine
  /** Newest line of each kind of belief before the call ended: document in force, start or stop, leadership, reload. */
  readonly beliefs: readonly LogLine[]
  /** Lines of all nodes about the servers that the call was sent to, in order of time. */
  readonly servers: readonly LogLine[]
}

/** Events that replace each other as what a node believes. */
const BELIEFS: readonly (readonly string[])[] = [
  ['document-in-force'],
  ['node-started', 'node-leaving', 'node-stopped'],
  ['leader-elected', 'leader-lost'],
  ['settings-reloaded'],
]

/** Reads log text; anything before the first brace of a line, such as a prefix of a log collector, is ignored. */
export function readLog(text: string): LogRead {
  const lines: LogLine[] = []
  let skipped = 0
  for (const raw of text.split('\n')) {
    if (raw.trim() === '') continue
    const line = parseLine(raw)
    if (line === undefined) skipped += 1
    else lines.push(line)
  }
  return { lines, skipped }
}

function parseLine(raw: string): LogLine | undefined {
  const start = raw.indexOf('{')
  if (start < 0) return undefined
  try {
    return lineSchema.safeParse(JSON.parse(raw.slice(start))).data
  } catch {
    return undefined
  }
}

/** Every logged failure of the attempt, on whichever node, in order of time. */
export function explainAttempt(lines: readonly LogLine[], attempt: string): readonly ExplainedCall[] {
  const ordered = lines.toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time))
  return ordered
    .filter((line) => line.attempt === attempt)
    .map((call) => ({ call, beliefs: beliefsBefore(ordered, call), servers: aboutServers(ordered, call) }))
}

function beliefsBefore(ordered: readonly LogLine[], call: LogLine): LogLine[] {
  const before = ordered.filter((line) => line.node === call.node && Date.parse(line.time) <= Date.parse(call.time))
  return BELIEFS.flatMap((events) => before.findLast((line) => events.includes(line.event)) ?? [])
}

function aboutServers(ordered: readonly LogLine[], call: LogLine): LogLine[] {
  const end = Date.parse(call.time)
  const begin = end - (call.ms ?? 0)
  const concerned = new Set(call.servers)
  return ordered.filter((line) => {
    const at = Date.parse(line.time)
    const isNear = at >= begin - HISTORY_MS && at <= end + AFTERMATH_MS
    return isNear && line.server !== undefined && concerned.has(line.server)
  })
}
