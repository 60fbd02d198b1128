/** Limits for the cold servers of one service, and the changes of which servers are cold. */
import type { Effect } from './call'
import { coldInterval, type ColdSharing, type WarmUp } from './cold-limits'
import type { ServerRecord } from './server-record'

export class ServiceColdLimits {
  readonly #records: readonly ServerRecord[]
  readonly #sharing: ColdSharing
  #warmUp: WarmUp | undefined
  /** List of entries from which the intervals were computed. */
  #entries: readonly string[] = []
  /** Servers that were last reported as cold. */
  readonly #cold = new Set<ServerRecord>()
  #hasCold = false

  constructor(records: readonly ServerRecord[], sharing: ColdSharing, warmUp: WarmUp | undefined) {
    this.#records = records
    this.#sharing = sharing
    this.#warmUp = warmUp
  }

  /** Whether some server may be cold. */
  get hasCold(): boolean {
    return this.#hasCold
  }

  count(now: number): number {
    return this.#hasCold ? this.#records.filter(({ warmth }) => warmth.isCold(now)).length : 0
  }

  /** Applies the document, `undefined` if it does not limit cold servers. */
  configure(warmUp: WarmUp | undefined, now: number): void {
    this.#warmUp = warmUp
    for (const record of this.#records) this.update(record, now)
  }

  /** Called when a server was added or its cold time may have changed. */
  update({ server, warmth }: ServerRecord, now: number): void {
    if (this.#warmUp === undefined) {
      warmth.setInterval(undefined, false, now)
      return
    }
    const isCold = now < warmth.coldUntil
    const isMoved = this.#hasCold && this.#sharing.entries() !== this.#entries
    // The interval of a warm server does not matter until it is cold.
    const interval = isCold ? coldInterval(server.id, this.#warmUp, this.#sharing) : Number.POSITIVE_INFINITY
    warmth.setInterval(interval, isMoved, now)
    this.#hasCold ||= isCold
  }

  /** Treats the server as cold for the warm-up of the service unless it states otherwise afterwards. */
  assumeCold(record: ServerRecord, now: number): void {
    if (this.#warmUp === undefined || this.#warmUp.lengthMs <= 0) return
    record.warmth.assumeCold(this.#warmUp.lengthMs, now)
    this.update(record, now)
  }

  /** Applies changes of the list of entries, and reports which servers became cold or warm. */
  refresh(now: number, effects: Effect[]): void {
    if (!this.#hasCold && this.#cold.size === 0) return
    const entries = this.#sharing.entries()
    const isChanged = entries !== this.#entries
    this.#entries = entries
    this.#hasCold = false
    for (const record of this.#records) {
      const { server, warmth } = record
      if (!warmth.isCold(now)) continue
      this.#hasCold = true
      if (isChanged && this.#warmUp !== undefined) {
        warmth.setInterval(coldInterval(server.id, this.#warmUp, this.#sharing), true, now)
      }
      if (this.#cold.has(record)) continue
      this.#cold.add(record)
      effects.push({ kind: 'cold', server: server.id, coldMs: warmth.coldUntil - now })
    }
    for (const record of this.#cold) {
      if (record.warmth.isCold(now) && !record.isRemoved) continue
      this.#cold.delete(record)
      if (!record.isRemoved) effects.push({ kind: 'warm', server: record.server.id })
    }
  }
}
