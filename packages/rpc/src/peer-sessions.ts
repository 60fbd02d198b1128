/**
 * HTTP/2 sessions to one peer. Requests use a session only after the peer has answered a ping on it. Until then an
 * attempt goes on while others are made beside it, and the first one that is answered is used. A network that is slow
 * with the first bytes of a connection would never be used if each attempt were given up for the next one; an attempt
 * from before a network healed may take long to go on. The number of attempts is bounded, as each costs the peer a
 * connection.
 */
import { connect as connectHttp2, constants, type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2'
import { connect, type Socket } from 'node:net'
import { performance } from 'node:perf_hooks'
import { Code, ConnectError } from '@connectrpc/connect'
import type { Http2SessionManager } from '@connectrpc/connect-node'
import type { TrafficCounter } from './traffic-counter'

/** 100 times the round trip time between failure domains of a region. */
const PING_TIMEOUT_MS = 1000
/**
 * The kernel repeats a lost connection request first after 1 s and then at growing intervals. A new connection sends a
 * new request at once.
 */
const CONNECT_TIMEOUT_MS = 900
/** Time without an answer after which another attempt is made beside one that has connected. */
const SILENCE_LIMIT_MS = 1500
/** Time after which an attempt is given up in any case. */
const ATTEMPT_LIMIT_MS = 15_000
const MAX_ATTEMPTS = 3
const IDLE_SESSION_TIMEOUT_MS = 60_000

type SessionManager = Pick<Http2SessionManager, 'authority' | 'request' | 'notifyResponseByteRead'>

interface Attempt {
  readonly session: ClientHttp2Session
  readonly socket: Socket
  readonly startedAt: number
}

interface Waiting {
  readonly resolve: (session: ClientHttp2Session) => void
  readonly reject: (cause: Error) => void
}

export class PeerSessions implements SessionManager {
  readonly authority: string
  readonly #traffic: TrafficCounter
  /** All sessions that are not closed, with their sockets. */
  readonly #sessions = new Map<ClientHttp2Session, Socket>()
  /** Attempts without an answer, the oldest first. */
  #attempts: Attempt[] = []
  #current: ClientHttp2Session | undefined
  /** Sessions that are being checked. */
  readonly #checked = new Set<ClientHttp2Session>()
  readonly #waiting = new Set<Waiting>()
  readonly #openStreams = new WeakMap<ClientHttp2Session, number>()
  readonly #idleTimers = new WeakMap<ClientHttp2Session, NodeJS.Timeout>()

  constructor(authority: string, traffic: TrafficCounter) {
    this.authority = authority
    this.#traffic = traffic
  }

  async request(
    ...[method, path, headers, options]: Parameters<SessionManager['request']>
  ): Promise<ClientHttp2Stream> {
    for (;;) {
      const session = await this.ready()
      try {
        const stream = session.request({ ...headers, ':method': method, ':path': path }, options)
        this.#register(session, stream)
        failWithoutResponse(stream)
        return stream
      } catch (cause) {
        // The session may have ended since, and then nothing was sent.
        if (!session.closed && !session.destroyed) throw cause
      }
    }
  }

  notifyResponseByteRead(): void {
    // Sessions are checked only when a call times out.
  }

  /** Returns a session on which the peer has answered. Rejects when the signal is aborted or the peer is not reached. */
  async ready(signal?: AbortSignal): Promise<ClientHttp2Session> {
    if (isUsable(this.#current)) return this.#current
    this.#openBeside()
    return new Promise((resolve, reject) => {
      const abort = () => {
        this.#waiting.delete(waiting)
        reject(signal?.reason as Error)
      }
      const settle = () => {
        this.#waiting.delete(waiting)
        signal?.removeEventListener('abort', abort)
      }
      const waiting: Waiting = {
        resolve: (session) => {
          settle()
          resolve(session)
        },
        reject: (cause) => {
          settle()
          reject(cause)
        },
      }
      this.#waiting.add(waiting)
      if (signal?.aborted === true) abort()
      else signal?.addEventListener('abort', abort)
    })
  }

  /** Whether there is neither a session nor a call that waits for one. */
  get isUnused(): boolean {
    return this.#sessions.size === 0 && this.#waiting.size === 0
  }

  /**
   * Pings the sessions and destroys those without a response, also one that the peer is closing and that still has
   * streams. Without a session that has been answered, another attempt is made if one is due.
   */
  destroyIfUnresponsive(): void {
    if (!isUsable(this.#current) && this.#attempts.length > 0) this.#openBeside()
    const attempts = new Set(this.#attempts.map(({ session }) => session))
    for (const [session, socket] of this.#sessions) if (!attempts.has(session)) this.#check(session, socket)
  }

  #check(session: ClientHttp2Session, socket: Socket): void {
    if (session.destroyed || this.#checked.has(session)) return
    this.#checked.add(session)
    const { bytesRead } = socket
    const timer = setTimeout(() => {
      // After a long turn of the event loop, timers run before a response that has arrived is read.
      setImmediate(() => {
        const wasChecked = this.#checked.delete(session)
        if (wasChecked && socket.bytesRead === bytesRead) session.destroy(new Error('ping timed out'))
      })
    }, PING_TIMEOUT_MS)
    // A session that its peer is closing sends no pings: there, silence alone tells.
    if (session.closed) return
    session.ping(() => {
      clearTimeout(timer)
      this.#checked.delete(session)
    })
  }

  abort(): void {
    this.#attempts = []
    this.#current = undefined
    const cause = new ConnectError('connection aborted', Code.Canceled)
    this.#rejectWaiting(cause)
    for (const session of this.#sessions.keys()) session.destroy(cause, constants.NGHTTP2_CANCEL)
  }

  /** Starts an attempt unless the newest one still has time. */
  #openBeside(): void {
    const newest = this.#attempts.at(-1)
    if (newest !== undefined) {
      const limitMs = newest.socket.connecting ? CONNECT_TIMEOUT_MS : SILENCE_LIMIT_MS
      if (performance.now() - newest.startedAt < limitMs) return
      // The oldest ones are kept: the first bytes are more likely to be under way on them.
      if (this.#attempts.length >= MAX_ATTEMPTS) this.#giveUp(newest)
    }
    this.#attempts.push(this.#attempt())
  }

  #attempt(): Attempt {
    const { hostname, port } = new URL(this.authority)
    const socket = connect({ host: hostname.replace(/^\[|\]$/g, ''), port: Number(port) })
    socket.setNoDelay(true)
    this.#traffic.track(socket)
    const session = connectHttp2(this.authority, { createConnection: () => socket })
    const attempt = { session, socket, startedAt: performance.now() }
    const timers = [
      afterTurn(CONNECT_TIMEOUT_MS, () => {
        this.#checkConnected(attempt)
      }),
      afterTurn(ATTEMPT_LIMIT_MS, () => {
        this.#giveUp(attempt)
      }),
    ]
    const ended = (cause: Error) => {
      for (const timer of timers) clearTimeout(timer)
      this.#fail(attempt, cause)
    }
    this.#sessions.set(session, socket)
    // The calls that wait have timers of their own.
    session.unref()
    session.on('error', ended)
    session.once('goaway', () => {
      if ((this.#openStreams.get(session) ?? 0) === 0) session.destroy()
    })
    session.once('close', () => {
      clearTimeout(this.#idleTimers.get(session))
      this.#sessions.delete(session)
      this.#checked.delete(session)
      ended(new ConnectError('the peer closed the connection', Code.Unavailable))
    })
    session.once('connect', () => {
      // The event is also emitted for a session that was destroyed meanwhile.
      if (!isUsable(session)) return
      session.ping((error) => {
        for (const timer of timers) clearTimeout(timer)
        if (error === null) this.#use(attempt)
      })
    })
    return attempt
  }

  /** Keeps the oldest attempt, whose connection request may be answered late, and tells those that wait. */
  #checkConnected(attempt: Attempt): void {
    if (!attempt.socket.connecting || !this.#attempts.includes(attempt)) return
    const cause = new ConnectError(`connect timed out after ${CONNECT_TIMEOUT_MS} ms`, Code.Unavailable)
    this.#rejectWaiting(cause)
    if (attempt !== this.#attempts[0]) this.#giveUp(attempt)
  }

  #use(attempt: Attempt): void {
    if (!this.#attempts.includes(attempt) || !isUsable(attempt.session)) return
    const others = this.#attempts.filter((other) => other !== attempt)
    this.#attempts = []
    this.#current = attempt.session
    for (const { session } of others) session.destroy()
    this.#rest(attempt.session)
    for (const { resolve } of [...this.#waiting]) resolve(attempt.session)
  }

  #giveUp(attempt: Attempt): void {
    this.#fail(attempt, new ConnectError('the peer does not answer', Code.Unavailable))
    attempt.session.destroy()
  }

  #fail(attempt: Attempt, cause: Error): void {
    if (!this.#attempts.includes(attempt)) return
    this.#attempts = this.#attempts.filter((other) => other !== attempt)
    if (this.#attempts.length === 0) this.#rejectWaiting(cause)
  }

  #rejectWaiting(cause: Error): void {
    for (const { reject } of [...this.#waiting]) reject(cause)
  }

  #register(session: ClientHttp2Session, stream: ClientHttp2Stream): void {
    const open = (this.#openStreams.get(session) ?? 0) + 1
    this.#openStreams.set(session, open)
    if (open === 1) {
      clearTimeout(this.#idleTimers.get(session))
      session.ref()
    }
    stream.once('close', () => {
      const left = (this.#openStreams.get(session) ?? 1) - 1
      this.#openStreams.set(session, left)
      if (left === 0) this.#rest(session)
    })
  }

  /** Lets the process end while the session has no streams, and closes the session if it stays so. */
  #rest(session: ClientHttp2Session): void {
    if (session.destroyed) return
    session.unref()
    const timer = setTimeout(() => {
      session.close()
    }, IDLE_SESSION_TIMEOUT_MS)
    this.#idleTimers.set(session, timer.unref())
  }
}

function isUsable(session: ClientHttp2Session | undefined): session is ClientHttp2Session {
  return session !== undefined && !session.closed && !session.destroyed
}

/** After a long turn of the event loop, timers run before a connection that has opened is noticed. */
function afterTurn(delayMs: number, act: () => void): NodeJS.Timeout {
  return setTimeout(() => {
    setImmediate(act)
  }, delayMs).unref()
}

/**
 * Emits an error if the peer closes the stream with `NO_ERROR` before a response. The library reports only other codes,
 * so a call without a timeout to a peer that stops would never end.
 */
function failWithoutResponse(stream: ClientHttp2Stream): void {
  let hasResponse = false
  stream.once('response', () => {
    hasResponse = true
  })
  stream.once('close', () => {
    if (hasResponse || stream.rstCode !== constants.NGHTTP2_NO_ERROR || stream.listenerCount('error') === 0) return
    stream.emit('error', new ConnectError('the peer closed the stream without a response', Code.Unavailable))
  })
}
