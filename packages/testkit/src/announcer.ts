/**
 * Announces one server to the entries: one entry that answers is enough, the next one is tried after a failure. The
 * lease of 2.5 s is renewed every 0.8 s (design section 5).
 */
import { Agent, request } from 'undici'

const RENEWAL_MS = 800
const ANSWER_LIMIT_MS = 500

export type ServerState = 'starting' | 'ready' | 'draining' | 'stopped'

export interface Announcement {
  readonly environment: string
  readonly service: string
  readonly server: string
  readonly start: number
  readonly sequence: number
  readonly state: ServerState
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly connectionLimit: number
  /** Calls running and queued. */
  readonly load?: number
}

export type Identity = Omit<Announcement, 'start' | 'sequence' | 'state' | 'load'>

export interface AnnouncerOptions {
  readonly identity: Identity
  /** Announce listeners of entries, `address:port`. */
  readonly entries: readonly string[]
  readonly serverKey: string
  readonly load?: () => number | undefined
}

export class Announcer {
  readonly #options: AnnouncerOptions
  readonly #agent = new Agent({ connectTimeout: ANSWER_LIMIT_MS })
  readonly #start = Date.now()
  #entries: readonly string[]
  #sequence = 0
  #preferred = 0
  #timer: NodeJS.Timeout | undefined
  state: ServerState = 'ready'

  constructor(options: AnnouncerOptions) {
    this.#options = options
    this.#entries = options.entries
  }

  set entries(entries: readonly string[]) {
    this.#entries = entries
    this.#preferred = 0
  }

  start(): void {
    this.#timer = setInterval(() => void this.announce(), RENEWAL_MS)
    void this.announce()
  }

  /** Sends the present state; returns the entry that accepted it or undefined when none did. */
  async announce(): Promise<string | undefined> {
    this.#sequence += 1
    const announcement = this.#announcement()
    for (let tried = 0; tried < this.#entries.length; tried += 1) {
      const position = (this.#preferred + tried) % this.#entries.length
      const entry = this.#entries[position] ?? ''
      if (await this.#send(entry, announcement)) {
        this.#preferred = position
        return entry
      }
    }
    return undefined
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer)
    await this.#agent.destroy()
  }

  /** Stops renewing without a word, like a server whose network is gone. */
  fallSilent(): void {
    clearInterval(this.#timer)
  }

  #announcement(): Announcement {
    const load = this.#options.load?.()
    return {
      ...this.#options.identity,
      start: this.#start,
      sequence: this.#sequence,
      state: this.state,
      ...(load === undefined ? {} : { load }),
    }
  }

  async #send(entry: string, announcement: Announcement): Promise<boolean> {
    try {
      const response = await request(`http://${entry}/v1/announcements`, {
        dispatcher: this.#agent,
        method: 'POST',
        headers: { 'content-type': 'application/json', authorization: `Bearer ${this.#options.serverKey}` },
        body: JSON.stringify(announcement),
        signal: AbortSignal.timeout(ANSWER_LIMIT_MS),
      })
      await response.body.dump()
      return response.statusCode < 300
    } catch {
      return false
    }
  }
}
