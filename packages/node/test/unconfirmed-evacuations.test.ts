/** Guards against an entry that serves after its start before it knows which failure domains are evacuated. */
import { failureDomain, nodeId, revision } from '@bilberrystall/base'
import { sha256 } from '@bilberrystall/control'
import { RpcClients, TrafficCounter } from '@bilberrystall/rpc'
import { expect, onTestFinished, test } from 'vitest'
import { ControlClient } from '../src/control-client'
import { Evacuations } from '../src/evacuations'
import { ControlContacts, DocumentStore } from '../src/index'
import { LeaderMemory } from '../src/leader-memory'
import type { NodeContext } from '../src/node-context'
import { NODE_KEY, TRIAL_ENVIRONMENT } from './control-cluster'

const TEXT = '[document]\ntitle = a\n[service.booking]\n[route.book]\nservice = booking\npath = /\n'

test('an entry uses no document of another entry, nor a notified one, before a majority confirmed the list', async () => {
  const clients = new RpcClients({ nodeKey: NODE_KEY, traffic: new TrafficCounter() })
  onTestFinished(() => {
    clients.close()
  })
  const self = nodeId('e')
  const now = () => performance.now()
  const silent = () => undefined
  const documentStore = new DocumentStore()
  const evacuations = new Evacuations()
  const context = {
    self,
    startedAt: 0,
    settings: { failureDomain: failureDomain('north') },
    clients,
    contacts: new ControlContacts({ self, cluster: { nodes: new Map() }, seeds: () => [], now }),
    leaders: new LeaderMemory(),
    directory: { nodes: new Map() },
    log: { info: silent, warn: silent, error: silent },
    now,
  }
  const client = new ControlClient({
    context: context as unknown as NodeContext,
    environment: TRIAL_ENVIRONMENT,
    documentStore,
    tokens: { add: silent } as never,
    onDocument: silent,
    onDrain: silent,
    onDepartures: silent,
    evacuations,
  })
  const document = { environment: TRIAL_ENVIRONMENT, revision: revision(1), digest: sha256(TEXT), text: TEXT }
  documentStore.offer({ ...document, version: 0, source: 'node' })
  documentStore.confirm(TRIAL_ENVIRONMENT, document.revision, now())
  const list = { position: 4, domains: [failureDomain('north')] }
  const content = { document: undefined, departures: [], departuresAfter: 0, evacuations: list }
  const position = { revision: 1, departurePosition: 0, node: nodeId('a') }
  expect(await client.catchUp({ ...position, content })).toMatchObject({ evacuationPosition: 4 })
  expect(documentStore.isReady(TRIAL_ENVIRONMENT)).toBe(true)
  expect(client.document()).toBeUndefined()
  evacuations.confirm(list)
  expect(client.document()?.services.size).toBe(1)
})
