/** Listeners for other nodes: RPC over TCP and packets over UDP, on the same address. */
import type { Failure } from '@bilberrystall/base'
import { PacketSocket, RpcServer, type RpcServerOptions } from '@bilberrystall/rpc'
import { err, ok, type Result } from 'neverthrow'
import { splitAddress } from './listener'

export interface PeerListenersOptions extends Omit<RpcServerOptions, 'host' | 'port'> {
  readonly address: string
}

export interface PeerListeners {
  readonly rpc: RpcServer
  readonly packets: PacketSocket
}

/** Errors: `address-in-use`. */
export async function openPeerListeners({
  address,
  ...options
}: PeerListenersOptions): Promise<Result<PeerListeners, Failure>> {
  const listenOptions = { ...options, ...splitAddress(address) }
  const rpc = await RpcServer.listen(listenOptions)
  if (rpc.isErr()) return err(rpc.error)
  const packets = await PacketSocket.bind({ ...listenOptions, port: rpc.value.port })
  if (packets.isOk()) return ok({ rpc: rpc.value, packets: packets.value })
  await rpc.value.close()
  return err(packets.error)
}
