/** Reports calls whose connection to the server broke, once it is known whether the process of the server ended. */
import type { ServerId } from '@bilberrystall/base'
import type { LostCall } from './call-dependencies'
import type { EntryServer } from './entry-options'
import { ServerChecks, type ServerCheck } from './server-check'

export interface LostCallReportsOptions {
  /** Time limit of a connection to a server that is checked. */
  readonly connectMs: number
  readonly serverOf: (id: ServerId) => EntryServer | undefined
  readonly onChecked: (lost: LostCall, start: number, check: ServerCheck) => void
}

export class LostCallReports {
  readonly #options: LostCallReportsOptions
  readonly #checks: ServerChecks
  readonly #pending = new Set<Promise<void>>()

  constructor(options: LostCallReportsOptions) {
    this.#options = options
    this.#checks = new ServerChecks(options.connectMs)
  }

  add(lost: LostCall): void {
    const report = this.#report(lost).finally(() => this.#pending.delete(report))
    this.#pending.add(report)
  }

  /** Resolves once each call that was added so far is reported. */
  async settled(): Promise<void> {
    await Promise.all(this.#pending)
  }

  async #report(lost: LostCall): Promise<void> {
    const server = this.#options.serverOf(lost.server)
    if (server === undefined) return
    const check = await this.#checks.check(server.id, server.address)
    this.#options.onChecked(lost, server.start, check)
  }
}
