/** The promises that a soak checks, from what callers, servers and operators saw. Pure. */
import type { CallResult } from '../load'

export interface SoakCall {
  readonly result: CallResult
  /** Whether the route allows the request to run more than once. */
  readonly repeatable: boolean
  /** Entry that took the call, and times of the call in ms after the start of the load. */
  readonly entry: string
  readonly sentAt: number
  readonly endedAt: number
}

/** A planned stop of an entry, from SIGTERM to the end of its process. */
export interface PlannedStop {
  readonly entry: string
  readonly from: number
  readonly until: number
  /** Whether another fault met the entry meanwhile, which may cut calls. */
  readonly disturbed: boolean
}

export interface SoakView {
  readonly calls: readonly SoakCall[]
  /** Executions by request id, summed over all servers. */
  readonly executions: ReadonlyMap<string, number>
  /** Revisions that operators were told are accepted, in the order of the answers. */
  readonly accepted: readonly number[]
  /** Revisions that one process of one node stated, in order of time, by node and process id. */
  readonly stated: ReadonlyMap<string, readonly number[]>
  readonly finalRevision: number
  readonly plannedStops: readonly PlannedStop[]
}

/** Sentences about promises that were broken; empty when all were kept. */
export function brokenPromises(view: SoakView): readonly string[] {
  return [
    ...view.calls.flatMap((call) => brokenByCall(view, call)),
    ...brokenByChanges(view),
    ...[...view.stated].flatMap(([process, revisions]) => revertedAt(process, revisions)),
    ...view.plannedStops.flatMap((stop) => cutBy(view, stop)),
  ]
}

function brokenByCall({ executions }: SoakView, { result, repeatable }: SoakCall): readonly string[] {
  const { requestId, outcome } = result
  const runs = executions.get(requestId) ?? 0
  const broken: string[] = []
  if (!repeatable && runs > 1) broken.push(`${requestId} ran ${runs} times`)
  if (!repeatable && outcome === 'not-run' && runs > 0) broken.push(`${requestId} was answered not-run and ran`)
  if (outcome === 'wrong') broken.push(`${requestId} got an answer that is not its own`)
  if (outcome === 'complete' && runs === 0) broken.push(`${requestId} was answered and ran nowhere`)
  return broken
}

function brokenByChanges({ accepted, finalRevision }: SoakView): readonly string[] {
  const broken: string[] = []
  if (new Set(accepted).size < accepted.length) broken.push(`a revision was accepted twice: ${accepted.join(', ')}`)
  const newest = Math.max(0, ...accepted)
  if (finalRevision < newest) broken.push(`revision ${newest} was accepted, ${finalRevision} is in force at the end`)
  return broken
}

function revertedAt(process: string, revisions: readonly number[]): readonly string[] {
  const at = revisions.findIndex((revision, index) => revision < (revisions[index - 1] ?? 0))
  return at < 0 ? [] : [`${process} went from revision ${revisions[at - 1] ?? 0} back to ${revisions[at] ?? 0}`]
}

function cutBy({ calls }: SoakView, stop: PlannedStop): readonly string[] {
  if (stop.disturbed) return []
  return (
    calls
      .filter(({ entry, result }) => entry === stop.entry && result.outcome === 'aborted')
      // A connection that was refused carried no request.
      .filter(({ result }) => result.code !== 'ECONNREFUSED')
      .filter(({ sentAt, endedAt }) => endedAt >= stop.from && sentAt <= stop.until)
      .map(({ result }) => `${result.requestId} was cut by the planned stop of ${stop.entry}: ${result.code}`)
  )
}
