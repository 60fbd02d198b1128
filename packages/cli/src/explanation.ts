/**
 * Explains a failed call from the log lines of several nodes: the line about the call itself, the state of its node at
 * that time, and the events of the servers that the call was sent to. Does no I/O; the log is passed in as text.
 */
import { z } from 'zod'

/** Server events up to this long after the call are included, because ejections and expiries follow a failure. */
const AFTER_CALL_MS = 5_000
/** Server events up to this long before the call are included, because they may be its cause. */
const BEFORE_CALL_MS = 10_000

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

export interface ParsedLog {
  readonly lines: readonly LogLine[]
  /** Number of lines that are not log lines of this program: truncated, damaged or written by another program. */
  readonly skipped: number
}

/** A failed call with the log lines that explain it. */
export interface ExplainedCall {
  readonly call: LogLine
  /** Latest line before the end of the call for each aspect: document in force, lifecycle, leadership, settings. */
  readonly beliefs: readonly LogLine[]
  /** Lines of all nodes about the servers that the call was sent to, sorted by time. */
  readonly servers: readonly LogLine[]
  /** Responses to the call that its node refused, sorted by time. */
  readonly refusals: readonly LogLine[]
}

/** Groups of events that report the same aspect of a node's state. The latest event of a group is the current state. */
const STATE_EVENT_GROUPS: readonly (readonly string[])[] = [
  ['document-in-force'],
  ['node-started', 'node-leaving', 'node-stopped'],
  ['leader-elected', 'leader-lost'],
  ['settings-reloaded'],
]

/**
 * Parses log text. Anything before the first brace of a line, such as a prefix added by a log collector, is ignored.
 */
export function parseLog(text: string): ParsedLog {
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

/** Returns the logged failures of an attempt on all nodes, sorted by time. */
export function explainAttempt(lines: readonly LogLine[], attempt: string): readonly ExplainedCall[] {
  const sortedLines = lines.toSorted((left, right) => Date.parse(left.time) - Date.parse(right.time))
  return sortedLines
    .filter((line) => line.event === 'call-failed' && line.attempt === attempt)
    .map((call) => ({
      call,
      refusals: sortedLines.filter((line) => isRefusedResponse(line, call)),
      beliefs: nodeStateBefore(sortedLines, call),
      servers: serverEventsOf(sortedLines, call),
    }))
}

function isRefusedResponse(line: LogLine, call: LogLine): boolean {
  return line.event === 'response-refused' && line.node === call.node && line.attempt === call.attempt
}

function nodeStateBefore(sortedLines: readonly LogLine[], call: LogLine): LogLine[] {
  const before = sortedLines.filter((line) => line.node === call.node && Date.parse(line.time) <= Date.parse(call.time))
  return STATE_EVENT_GROUPS.flatMap((events) => before.findLast((line) => events.includes(line.event)) ?? [])
}

function serverEventsOf(sortedLines: readonly LogLine[], call: LogLine): LogLine[] {
  const end = Date.parse(call.time)
  const begin = end - (call.ms ?? 0)
  const serversOfCall = new Set(call.servers)
  return sortedLines.filter((line) => {
    const timeMs = Date.parse(line.time)
    const isNear = timeMs >= begin - BEFORE_CALL_MS && timeMs <= end + AFTER_CALL_MS
    const isOfServer = line.server !== undefined && serversOfCall.has(line.server)
    return isNear && isOfServer && !isRefusedResponse(line, call)
  })
}
