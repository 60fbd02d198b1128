/** The record with which a node announces itself when it starts. */
import { environmentName } from '@bilberrystall/base'
import type { Node } from '@bilberrystall/membership'
import type { Settings } from './settings'

export function createNodeRecord(settings: Settings): Node {
  return {
    node: settings.node,
    roles: settings.roles,
    address: settings.address,
    failureDomain: settings.failureDomain,
    region: settings.region,
    environment: settings.entry?.environment ?? environmentName(''),
    state: 'starting',
    ...(settings.entry?.relayListen === undefined ? {} : { relay: settings.entry.relayListen }),
    disk: '',
    documents: [],
    ejected: [],
  }
}
