/**
 * Finds requests that a service ran although only older versions of the document name it for their route: later than an
 * acknowledged change must be in force, or after a newer version was seen in force at the same process. Has no side
 * effects.
 */

/** Change that moves the route to a service. Refused changes are left out. Times are monotonic, in ms. */
export interface RouteMove {
  /** Revision that the change is based on; the change itself creates the next one. */
  readonly base: number
  readonly service: string
  /** Undefined if no acknowledgement arrived; the change may be in force all the same. */
  readonly acknowledgedAt: number | undefined
}

/** Request on the route that a service ran. */
export interface RouteRun {
  readonly requestId: string
  /** Entry that the request was sent to, and its process. */
  readonly entry: string
  readonly process: string
  readonly service: string
  readonly sentAt: number
  /** Infinity without a response. */
  readonly endedAt: number
}

export interface SupersededOptions {
  readonly moves: readonly RouteMove[]
  readonly runs: readonly RouteRun[]
  /** Time after its acknowledgement at which a change must be in force. */
  readonly applyMs: number
  /** Whether a change acknowledged at this time need not be in force for the request. */
  readonly isExcused?: (run: RouteRun, acknowledgedAt: number) => boolean
}

export interface SupersededRun extends RouteRun {
  /** Newest revision that had to be in force, and the time from its acknowledgement to the request. */
  readonly revision: number
  readonly sentAfterMs: number
}

export function findSupersededRuns(options: SupersededOptions): readonly SupersededRun[] {
  const { moves, runs } = options
  return runs.flatMap((run) => {
    const due = findNewestDue(options, run)
    if (due === undefined || oldestRevision(moves, run.service, due.base + 1) !== undefined) return []
    return [{ ...run, revision: due.base + 1, sentAfterMs: run.sentAt - due.acknowledgedAt }]
  })
}

export interface RevertedRun extends RouteRun {
  /** Revision that was in force at the process before. */
  readonly revision: number
}

/** `slackMs` is the time after the response to a request in which another request may still have an older version. */
export function findRevertedRuns(
  moves: readonly RouteMove[],
  runs: readonly RouteRun[],
  slackMs: number,
): readonly RevertedRun[] {
  const processes = new Set(runs.map(({ process }) => process))
  return [...processes].flatMap((process) => {
    const ofProcess = runs.filter((run) => run.process === process)
    return findRevertedAtProcess(moves, ofProcess, slackMs)
  })
}

function findRevertedAtProcess(moves: readonly RouteMove[], runs: readonly RouteRun[], slackMs: number): RevertedRun[] {
  const reverted: RevertedRun[] = []
  /** Revisions that were at least in force when a response arrived. */
  const seen: { readonly endedAt: number; readonly revision: number }[] = []
  for (const run of runs.toSorted((left, right) => left.sentAt - right.sentAt)) {
    const before = seen.filter(({ endedAt }) => endedAt + slackMs < run.sentAt)
    const floor = Math.max(0, ...before.map(({ revision }) => revision))
    const revision = oldestRevision(moves, run.service, floor)
    if (revision === undefined) reverted.push({ ...run, revision: floor })
    else seen.push({ endedAt: run.endedAt, revision })
  }
  return reverted
}

function findNewestDue({ moves, applyMs, isExcused }: SupersededOptions, run: RouteRun) {
  let newest: { readonly base: number; readonly acknowledgedAt: number } | undefined
  for (const { base, acknowledgedAt } of moves) {
    if (acknowledgedAt === undefined || acknowledgedAt + applyMs >= run.sentAt) continue
    if (newest !== undefined && base < newest.base) continue
    if (isExcused?.(run, acknowledgedAt) !== true) newest = { base, acknowledgedAt }
  }
  return newest
}

/** Oldest revision from `floor` on that names the service. */
function oldestRevision(moves: readonly RouteMove[], service: string, floor: number): number | undefined {
  const revisions = moves.filter((move) => move.service === service).map(({ base }) => base + 1)
  const candidates = revisions.filter((revision) => revision >= floor)
  return candidates.length === 0 ? undefined : Math.min(...candidates)
}
