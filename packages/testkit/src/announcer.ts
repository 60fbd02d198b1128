/**
 * Announces one server to the entries. It suffices that one entry accepts an announcement; after a failure the next
 * entry is used. The response contains the renewal interval (design section 5).
 */
import { Agent, request } from 'undici'

/** Renewal interval until the first response of an entry. */
const INITIAL_RENEWAL_MS = 500
const REQUEST_TIMEOUT_MS = 500

export type ServerState = 'starting' | 'ready' | 'draining' | 'stopped'

export interface Announcement {
  readonly environment: string
  readonly service: string
  readonly server: string
  /** Unix time in ms at which the server started. */
  readonly start: number
  readonly sequence: number
  readonly state: ServerState
  readonly address: string
  readonly failureDomain: string
  readonly slots: number
  readonly connectionLimit: number
  /** Number of running and queued calls. */
  readonly load?: number
}

export type ServerIdentity = Omit<Announcement, 'start' | 'sequence' | 'state' | 'load'>

export interface AnnouncerOptions {
  readonly identity: ServerIdentity
  /** Addresses of the entries' announcement listeners, `address:port`. */
  readonly entries: readonly string[]
  readonly serverKey: string
  readonly load?: () => number | undefined
}

export class Announcer {
  readonly #options: AnnouncerOptions
  readonly #agent = new Agent({ connectTimeout: REQUEST_TIMEOUT_MS })
  readonly #startTime = Date.now()
  #entries: readonly string[]
  #sequence = 0
  #preferredIndex = 0
  #timer: NodeJS.Timeout | undefined
  #renewalMs = INITIAL_RENEWAL_MS
  #renewing = false
  state: ServerState = 'ready'

  constructor(options: AnnouncerOptions) {
    this.#options = options
    this.#entries = options.entries
  }

  set entries(entries: readonly string[]) {
    this.#entries = entries
    this.#preferredIndex = 0
  }

  start(): void {
    this.#renewing = true
    void this.#renew()
  }

  /** Announces the current state. Returns the entry that accepted it, or undefined if none did. */
  async announce(): Promise<string | undefined> {
    this.#sequence += 1
    const announcement = this.#buildAnnouncement()
    // Another announcement in progress may change the preferred entry meanwhile, and none must be left out.
    const first = this.#preferredIndex
    for (let offset = 0; offset < this.#entries.length; offset += 1) {
      const position = (first + offset) % this.#entries.length
      const entry = this.#entries[position] ?? ''
      if (await this.#send(entry, announcement)) {
        this.#preferredIndex = position
        return entry
      }
    }
    return undefined
  }

  async stop(): Promise<void> {
    this.stopRenewing()
    await this.#agent.destroy()
  }

  /** Stops renewing without announcing a new state, like a server that lost its network. */
  stopRenewing(): void {
    this.#renewing = false
    clearTimeout(this.#timer)
  }

  async #renew(): Promise<void> {
    const startedAt = performance.now()
    await this.announce()
    clearTimeout(this.#timer)
    if (!this.#renewing) return
    const delayMs = Math.max(0, startedAt + this.#renewalMs - performance.now())
    this.#timer = setTimeout(() => void this.#renew(), delayMs)
  }

  #buildAnnouncement(): Announcement {
    const load = this.#options.load?.()
    return {
      ...this.#options.identity,
      start: this.#startTime,
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
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
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
