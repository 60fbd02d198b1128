/** Fixture of the tests of control: three replicas, one entry, and an operator who changes the production document. */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import {
  workloadDocument,
  type Cluster,
  type ClusterNode,
  type ProcessResult,
  type Harness,
  type OperatorEndpoint,
} from '@bilberrystall/testkit'
import { CONTROLS, entryNode, IN_FORCE_LIMIT_MS, startCluster } from './fixture'

/** Starts the cluster, puts revision 1 in force and waits until all three replicas are voters. */
export async function startControlCluster(harness: Harness): Promise<Cluster> {
  const cluster = await startCluster(harness, [...CONTROLS, entryNode(1)])
  await cluster.waitUntil('all three replicas are voters', async () => (await readVoters(cluster)).length === 3)
  return cluster
}

/** Returns the names of the voters as reported by the first of the given nodes that responds. */
export async function readVoters(
  cluster: Cluster,
  nodes: readonly OperatorEndpoint[] = cluster.controls,
): Promise<string[]> {
  const replicas = (await cluster.status(nodes))?.replicas ?? []
  return replicas.filter((replica) => replica.role === 'voter').map((replica) => replica.node)
}

export function otherControls(cluster: Cluster, node: ClusterNode): ClusterNode[] {
  return cluster.controls.filter((candidate) => candidate !== node)
}

export interface Submission {
  readonly title: string
  readonly base: number
  readonly nodes: readonly OperatorEndpoint[]
  readonly extraArguments?: readonly string[]
}

export async function submit(cluster: Cluster, submission: Submission): Promise<ProcessResult> {
  const { title, base, nodes, extraArguments = [] } = submission
  await writeFile(join(cluster.harness.folder, `${title}.ini`), workloadDocument(title))
  const target = ['--environment', 'production', '--base', String(base)]
  return cluster.runCommand(['document', 'submit', `${title}.ini`, ...target, '--json', ...extraArguments], { nodes })
}

/** Returns all documents that have been in force in production. */
export async function readHistory(cluster: Cluster, nodes: readonly OperatorEndpoint[]): Promise<readonly unknown[]> {
  // A replica that has just started refuses reads until it knows a leader; its first response must be complete.
  return cluster.waitUntil('a response with the history', async () => {
    const view = await cluster.readApi('/v1/environments/production/history', nodes)
    return (view as { documents: unknown[] } | undefined)?.documents
  })
}

export function waitUntilInForceEverywhere(
  cluster: Cluster,
  nodes: readonly OperatorEndpoint[],
  revision: number,
): Promise<boolean> {
  const check = async (): Promise<boolean> => {
    const view = await cluster.readApi('/v1/environments/production', nodes)
    const { revision: currentRevision, inForceEverywhere: isEverywhere } = (view ?? {}) as {
      revision?: number
      inForceEverywhere?: boolean
    }
    return currentRevision === revision && isEverywhere === true
  }
  return cluster.waitUntil(`revision ${revision} is in force everywhere`, check, IN_FORCE_LIMIT_MS)
}
