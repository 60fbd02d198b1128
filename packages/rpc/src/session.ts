/**
 * HTTP/2 sessions of the client. The session manager of connect-node takes its error listener off a session that is
 * being destroyed when the manager changes state in the same moment, for example when a peer says goodbye and is
 * forgotten; the error of the session then ends the process. Each session therefore keeps a listener of its own.
 */
import type { ClientHttp2Session, ClientHttp2Stream } from 'node:http2'
import { Http2SessionManager } from '@connectrpc/connect-node'

export class SessionManager extends Http2SessionManager {
  readonly #guarded = new WeakSet<ClientHttp2Session>()

  override async request(...request: Parameters<Http2SessionManager['request']>): Promise<ClientHttp2Stream> {
    const stream = await super.request(...request)
    const session = stream.session as ClientHttp2Session | undefined
    if (session !== undefined && !this.#guarded.has(session)) {
      this.#guarded.add(session)
      // The manager and the streams of the session report the error; this listener only keeps it from being unhandled.
      session.on('error', () => undefined)
    }
    return stream
  }
}
