/**
 * Finds requests that a service ran although only older versions of the document name it for their route, later than an
 * acknowledged change must be in force. Has no side effects.
 */

/** Change that moves the route to a service; refused changes are left out. Times are in ms. */
export interface RouteMove {
  /** Revision that the change is based on; the change itself creates the next one. */
  readonly base: number
  readonly service: string
  /** Undefined if no acknowledgement arrived; the change may be in force all the same. */
  readonly acknowledgedAt: number | undefined
}

/** Request on the route that a service ran, with the entry that it was sent to. */
export interface RouteRun {
  readonly requestId: string
  readonly entry: string
  readonly service: string
  readonly sentAt: number
}

export interface SupersededRun extends RouteRun {
  /** Newest revision that had to be in force, and the time from its acknowledgement to the request. */
  readonly revision: number
  readonly sentAfterMs: number
}

/** `applyMs` is the time after its acknowledgement at which a change must be in force. */
export function findSupersededRuns(
  moves: readonly RouteMove[],
  runs: readonly RouteRun[],
  applyMs: number,
): readonly SupersededRun[] {
  return runs.flatMap((run) => {
    const due = newestDue(moves, run.sentAt - applyMs)
    if (due === undefined || moves.some(({ base, service }) => base >= due.base && service === run.service)) return []
    return [{ ...run, revision: due.base + 1, sentAfterMs: run.sentAt - due.acknowledgedAt }]
  })
}

function newestDue(moves: readonly RouteMove[], at: number) {
  let newest: { readonly base: number; readonly acknowledgedAt: number } | undefined
  for (const { base, acknowledgedAt } of moves) {
    if (acknowledgedAt === undefined || acknowledgedAt >= at) continue
    if (newest === undefined || base > newest.base) newest = { base, acknowledgedAt }
  }
  return newest
}
