/** Settings of a node with both roles whose control role is its only replica. */
import { createHash } from 'node:crypto'
import { environmentName, failureDomain, nodeId } from '@bilberrystall/base'
import { freePort } from '@bilberrystall/testkit'
import type { ControlSettings, Settings } from '../src/index'

export const OPERATOR_KEY = 'operator key of the test'

export interface SingleNodeSettings extends Settings {
  readonly control: ControlSettings
}

export async function singleNodeSettings(dataFolder: string): Promise<SingleNodeSettings> {
  const address = async () => `127.0.0.1:${await freePort()}`
  const rpc = await address()
  return {
    node: nodeId('a'),
    roles: ['entry', 'control'],
    address: rpc,
    rpcListen: rpc,
    statusListen: await address(),
    firstStart: false,
    failureDomain: failureDomain('west'),
    region: 'default',
    seeds: [],
    nodeKey: 'node key of the test',
    platform: undefined,
    entry: {
      environment: environmentName('production'),
      listen: await address(),
      serverKey: undefined,
      relayListen: undefined,
      balancerGraceMs: 0,
      stopLimitMs: 100,
      renewalMs: undefined,
      hedgeLimit: undefined,
    },
    control: {
      listen: await address(),
      dataFolder,
      operatorKeys: new Map([['asha', createHash('sha256').update(OPERATOR_KEY).digest('hex')]]),
      bootstrap: true,
      replicas: 1,
      minVoters: 1,
      lostAfterMs: 60_000,
    },
  }
}
