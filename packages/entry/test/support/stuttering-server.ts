/**
 * A server that writes an extra copy of a response behind it on the same connection: cut at a given byte, in given pieces,
 * before the response to the next request. It records what it answered to each attempt.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { startFakeServer, type FakeServer, type ReceivedRequest } from '../harness'
import { FREE_LOAD, header, isProbe } from './attempt-dialect'

export type ResponseKind = 'success' | 'failure' | 'refusal' | 'interim'
export type Framing = 'length' | 'chunked' | 'close'

/** When the pieces of the copy are written. */
export type Schedule =
  /** In one write with the response. */
  | 'attached'
  /** Alone, while the connection is idle. */
  | 'idle'
  /** In one write with the next response. */
  | 'joined'
  /** Alone, when the next request has arrived, some time before its response. */
  | 'ahead'
  /** The first piece when the next request has arrived, the second one later in one write with its response. */
  | 'split'
  /** The first piece while the connection is idle, the second one in one write with the next response. */
  | 'idle-split'

export interface Stutter {
  /** Number of bytes of the copy that are written. */
  readonly cut: number
  /** Size of the first piece, for schedules with two. */
  readonly firstBytes: number
  readonly schedule: Schedule
}

export interface ResponsePlan {
  readonly kind: ResponseKind
  readonly framing: Framing
  /** Whether a refusal names its attempt; all other responses do. */
  readonly isNamed: boolean
  readonly isFailureSigned: boolean
  /** Whether the attempt id is the last field, behind the signature. */
  readonly attemptLast: boolean
  readonly body: string
}

export interface PlannedResponse extends ResponsePlan {
  readonly stutter?: Stutter | undefined
  /** For a response that ends with its connection: time between the copy and the end. */
  readonly closeAfterMs?: number | undefined
}

export interface RecordedResponse {
  readonly status: number
  readonly body: string
  /** All fields that a caller may get, in lower case. */
  readonly fields: Readonly<Record<string, string>>
  readonly ran: boolean
}

export interface ResponseBytes {
  readonly record: RecordedResponse
  readonly bytes: Buffer
  /** Size of the head, with that of an interim response. */
  readonly headBytes: number
}

export interface StutteringServer {
  /** Two servers with one plan and one record, so that a request that runs at both counts as run twice. */
  readonly servers: readonly [FakeServer, FakeServer]
  /** Responses to the requests of an attempt; the last one is repeated, without its copy. */
  readonly plan: (attempt: string, ...responses: readonly PlannedResponse[]) => void
  readonly recordsOf: (attempt: string) => readonly RecordedResponse[]
  /** Responses to the next load queries and probes; then and without a plan, they are plain successes. */
  readonly planProbes: (...responses: readonly ProbeResponse[]) => void
  /** Whether the extra bytes behind the response to an attempt were written, as far as they precede the next request. */
  readonly written: (attempt: string) => boolean
  /** Whether the request of an attempt was the first one behind extra bytes on its connection. */
  readonly met: (attempt: string) => boolean
  /** Calls `listener` when the request of an attempt is the first one behind extra bytes, before it is answered. */
  readonly onMet: (attempt: string, listener: () => void) => void
}

/** A response to a load query or a probe. */
export interface ProbeResponse {
  readonly stutter: Stutter
}

/** Name under which `written` reports the copies of responses to load queries and probes. */
export const PROBE_ATTEMPT = 'probe'

const PAUSE_MS = 2
const STATUS_LINES: Readonly<Record<ResponseKind, readonly [number, string]>> = {
  success: [200, 'OK'],
  interim: [200, 'OK'],
  failure: [500, 'Internal Server Error'],
  refusal: [503, 'Service Unavailable'],
}
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n'

export function createResponse(attempt: string, plan: ResponsePlan): ResponseBytes {
  const [status, reason] = STATUS_LINES[plan.kind]
  const isRefusal = plan.kind === 'refusal'
  const isSigned = plan.kind === 'failure' ? plan.isFailureSigned : !isRefusal
  const named: Record<string, string> = !isRefusal || plan.isNamed ? { 'x-attempt': attempt } : {}
  const others: Record<string, string> = {
    ...(isSigned ? { 'x-signature': `signature-${attempt}-${status}` } : {}),
    'x-answer': attempt,
  }
  const fields = plan.attemptLast ? { ...others, ...named } : { ...named, ...others }
  const framing = {
    length: { 'content-length': String(plan.body.length) },
    chunked: { 'transfer-encoding': 'chunked' },
    close: {},
  }[plan.framing]
  const internal = isRefusal ? { 'x-not-run': '1' } : {}
  const all = Object.entries(
    plan.attemptLast ? { ...framing, ...internal, ...fields } : { ...fields, ...internal, ...framing },
  )
  const lines = [`HTTP/1.1 ${status} ${reason}`, ...all.map(([name, value]) => `${name}: ${value}`)]
  const head = `${plan.kind === 'interim' ? INTERIM : ''}${lines.join('\r\n')}\r\n\r\n`
  const size = plan.body.length.toString(16)
  const body = plan.framing === 'chunked' ? `${size}\r\n${plan.body}\r\n0\r\n\r\n` : plan.body
  return {
    record: { status, body: plan.body, fields, ran: !isRefusal },
    bytes: Buffer.from(head + body, 'latin1'),
    headBytes: head.length,
  }
}

type WritePlan = Pick<PlannedResponse, 'stutter' | 'closeAfterMs'> & Partial<Pick<PlannedResponse, 'framing'>>

/** Bytes that precede the next response on a connection. */
interface Pending {
  readonly attempt: string
  readonly pieces: readonly Buffer[]
  /** Whether the last piece is written together with the response. */
  readonly isLastJoined: boolean
}

export function probeResponse(instance = ''): Buffer {
  return Buffer.from(`HTTP/1.1 200 OK\r\n${FREE_LOAD}\r\nx-self: ${instance}\r\ncontent-length: 0\r\n\r\n`)
}

export async function startStutteringServer(): Promise<StutteringServer> {
  const plans = new Map<string, PlannedResponse[]>()
  const probePlans: ProbeResponse[] = []
  const records = new Map<string, RecordedResponse[]>()
  const written = new Set<string>()
  const pending = new WeakMap<object, Pending>()
  /** Connections on which extra bytes precede the next request or its response. */
  const stuttered = new WeakSet()
  const met = new Set<string>()
  const metListeners = new Map<string, () => void>()

  const noteMet = ({ socket }: ReceivedRequest, attempt: string): void => {
    if (!stuttered.delete(socket)) return
    met.add(attempt)
    metListeners.get(attempt)?.()
  }

  const writePending = async ({ socket }: ReceivedRequest): Promise<Buffer> => {
    const held = pending.get(socket)
    pending.delete(socket)
    if (held === undefined) return Buffer.alloc(0)
    const alone = held.isLastJoined ? held.pieces.slice(0, -1) : held.pieces
    for (const piece of alone) {
      socket.write(piece)
      await sleep(PAUSE_MS)
    }
    written.add(held.attempt)
    return held.isLastJoined ? (held.pieces.at(-1) ?? Buffer.alloc(0)) : Buffer.alloc(0)
  }

  const write = async (received: ReceivedRequest, bytes: Buffer, attempt: string, plan?: WritePlan) => {
    const { socket } = received
    const before = await writePending(received)
    const stutter = plan?.stutter
    const copy = bytes.subarray(0, stutter?.cut ?? 0)
    if (stutter !== undefined) stuttered.add(socket)
    if (stutter === undefined) {
      socket.write(Buffer.concat([before, bytes]))
    } else {
      const first = copy.subarray(0, stutter.firstBytes)
      const second = copy.subarray(stutter.firstBytes)
      switch (stutter.schedule) {
        case 'attached':
          socket.write(Buffer.concat([before, bytes, copy]))
          written.add(attempt)
          break
        case 'idle':
          socket.write(Buffer.concat([before, bytes]))
          await sleep(PAUSE_MS)
          socket.write(copy)
          written.add(attempt)
          break
        case 'joined':
        case 'ahead':
          pending.set(socket, { attempt, pieces: [copy], isLastJoined: stutter.schedule === 'joined' })
          socket.write(Buffer.concat([before, bytes]))
          break
        case 'split':
          pending.set(socket, { attempt, pieces: [first, second], isLastJoined: true })
          socket.write(Buffer.concat([before, bytes]))
          break
        case 'idle-split':
          pending.set(socket, { attempt, pieces: [second], isLastJoined: true })
          socket.write(Buffer.concat([before, bytes]))
          await sleep(PAUSE_MS)
          socket.write(first)
          written.add(attempt)
      }
    }
    if (plan?.framing !== 'close') return
    if (plan.closeAfterMs !== undefined) await sleep(plan.closeAfterMs)
    socket.end()
  }

  const handle = (received: ReceivedRequest) => {
    noteMet(received, isProbe(received) ? PROBE_ATTEMPT : (header(received, 'x-attempt') ?? ''))
    if (isProbe(received)) {
      void write(received, probeResponse(header(received, 'x-instance')), PROBE_ATTEMPT, probePlans.shift())
      return
    }
    const attempt = header(received, 'x-attempt') ?? ''
    const queue = plans.get(attempt) ?? []
    const planned = queue.length > 1 ? queue.shift() : queue[0]
    if (planned === undefined) throw new Error(`no response is planned for attempt ${attempt}`)
    const earlier = records.get(attempt) ?? []
    records.set(attempt, earlier)
    const { bytes, record } = createResponse(attempt, planned)
    earlier.push(record)
    if (queue[0] === planned) queue[0] = { ...planned, stutter: undefined }
    void write(received, bytes, attempt, planned)
  }

  return {
    servers: [await startFakeServer(handle), await startFakeServer(handle)],
    plan: (attempt, ...responses) => plans.set(attempt, [...responses]),
    planProbes: (...responses) => probePlans.push(...responses),
    recordsOf: (attempt) => records.get(attempt) ?? [],
    written: (attempt) => written.has(attempt),
    met: (attempt) => met.has(attempt),
    onMet: (attempt, listener) => metListeners.set(attempt, listener),
  }
}
