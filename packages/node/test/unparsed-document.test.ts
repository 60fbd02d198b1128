/** Verifies what an entry confirms about a document that it cannot parse, as one of an earlier build may not. */
import { failureDomain, nodeId, revision } from '@bilberrystall/base'
import { sha256 } from '@bilberrystall/control'
import { RpcClients, TrafficCounter } from '@bilberrystall/rpc'
import { expect, onTestFinished, test } from 'vitest'
import { Evacuations } from '../src/evacuations'
import { ControlClient } from '../src/control-client'
import { ControlContacts, DocumentStore } from '../src/index'
import { LeaderMemory } from '../src/leader-memory'
import type { NodeContext } from '../src/node-context'
import { NODE_KEY, TRIAL_ENVIRONMENT } from './control-cluster'

const VALID = '[document]\ntitle = t\n[service.booking]\n[route.book]\nservice = booking\npath = /\nkey = required\n'

// Guards against a change that is acknowledged as in force at an entry that uses the document before it.
test('an entry confirms only the document that it uses', async () => {
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic: new TrafficCounter() })
  onTestFinished(() => {
    clients.close()
  })
  const self = nodeId('entry')
  const now = () => performance.now()
  const nodes = new Map()
  const log = { info: () => undefined, warn: () => undefined, error: () => undefined }
  const contacts = new ControlContacts({ self, cluster: { nodes }, seeds: () => [], now })
  const settings = { failureDomain: failureDomain('north') }
  const context = {
    self,
    startedAt: 0,
    settings,
    clients,
    contacts,
    leaders: new LeaderMemory(),
    directory: { nodes },
    log,
    now,
  }
  const documentStore = new DocumentStore()
  const evacuations = new Evacuations()
  evacuations.offer({ position: 2, domains: [] })
  const client = new ControlClient({
    context: context as unknown as NodeContext,
    environment: TRIAL_ENVIRONMENT,
    documentStore,
    tokens: { add: () => undefined } as never,
    onDocument: () => undefined,
    onDrain: () => undefined,
    onDepartures: () => undefined,
    evacuations,
  })
  const confirmedAfter = (number: number, text: string) => {
    const document = { environment: TRIAL_ENVIRONMENT, revision: revision(number), digest: sha256(text), text }
    documentStore.offer({ ...document, version: 0, source: 'replica' })
    documentStore.confirm(TRIAL_ENVIRONMENT, document.revision, now())
    return client.catchUp({ revision: number, departurePosition: 0, node: nodeId('a') })
  }
  const positions = { departurePosition: 0, evacuationPosition: 2 }
  expect(await confirmedAfter(1, VALID)).toEqual({ revision: 1, ...positions })
  expect(await confirmedAfter(2, '[unknown-section]\n')).toEqual({ revision: 1, ...positions })
  expect(await confirmedAfter(3, VALID)).toEqual({ revision: 3, ...positions })
})
