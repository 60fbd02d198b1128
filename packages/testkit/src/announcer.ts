/**
 * Announces one server to the entries: one entry that answers is enough, the next one is tried after a failure. The
 * response names the renewal interval (design section 5).
 */
import { Agent, request } from 'undici'

/** Until an entry names its interval. */
const FIRST_RENEWAL_MS = 500
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
  #renewalMs = FIRST_RENEWAL_MS
  #renewing = false
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
    this.#renewing = true
    void this.#renew()
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
    this.fallSilent()
    await this.#agent.destroy()
  }

  /** Stops renewing without a word, like a server whose network is gone. */
  fallSilent(): void {
    this.#renewing = false
    clearTimeout(this.#timer)
  }

  async #renew(): Promise<void> {
    const begun = performance.now()
    await this.announce()
    clearTimeout(this.#timer)
    if (!this.#renewing) return
    const wait = Math.max(0, begun + this.#renewalMs - performance.now())
    this.#timer = setTimeout(() => void this.#renew(), wait)
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
      const body = (await response.body.json()) as { renewMs?: number }
      if (response.statusCode >= 300) return false
      this.#renewalMs = body.renewMs ?? this.#renewalMs
      return true
    } catch {
      return false
    }
  }
}
