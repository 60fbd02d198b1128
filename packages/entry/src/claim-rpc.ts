/** Claims over Connect RPC: the transport of the claiming entry and the service of the holder. */
import type { NodeId } from '@bilberrystall/base'
import type { HolderReply, HolderRequest, ClaimTable } from '@bilberrystall/claims'
import { ClaimsService, type KeyUse as WireUse, type RpcClients } from '@bilberrystall/rpc'
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect'
import {
  claimReplyFromWire,
  claimReplyToWire,
  endingFromWire,
  endingToWire,
  recordReplyFromWire,
  recordReplyToWire,
  keyUseFromWire,
} from './claim-codec'
import type { ClaimTransport } from './claim-coordinator'

/** A claimant repeats its request after 100 ms, so much later replies are useless. */
const CALL_TIMEOUT_MS = 400

export interface RpcClaimTransportOptions {
  readonly clients: RpcClients
  /** Returns the RPC address of a live node, an IP address with a port. */
  readonly address: (holder: NodeId) => string | undefined
  /** This node, whose claim table is called directly instead of over RPC. */
  readonly self: NodeId
  readonly table: ClaimTable
  /** Returns the Unix time in ms. */
  readonly now: () => number
}

export class RpcClaimTransport implements ClaimTransport {
  readonly #options: RpcClaimTransportOptions

  constructor(options: RpcClaimTransportOptions) {
    this.#options = options
  }

  async deliver(holder: NodeId, request: HolderRequest): Promise<HolderReply> {
    const { self, table, now, address } = this.#options
    if (holder === self) return table.handle(request, now())
    const holderAddress = address(holder)
    if (holderAddress === undefined) return { kind: 'unreachable' }
    try {
      return await this.#call(holderAddress, request)
    } catch {
      // Whatever the error, the request may have reached the holder.
      return { kind: 'unreachable' }
    }
  }

  async #call(address: string, request: HolderRequest): Promise<HolderReply> {
    const client = this.#options.clients.client(ClaimsService, address)
    const options = { timeoutMs: CALL_TIMEOUT_MS }
    const { use } = request
    switch (request.kind) {
      case 'claim':
        return claimReplyFromWire(await client.claim({ use, runMs: Math.ceil(request.runMs) }, options))
      case 'complete': {
        const response = await client.complete({ use, ending: endingToWire(request.ending) }, options)
        return recordReplyFromWire(response.result)
      }
      case 'release':
        return recordReplyFromWire((await client.release({ use }, options)).result)
    }
  }
}

/** Registers the claims service of a holder. `now` returns the Unix time in ms. */
export function claimRoutes(router: ConnectRouter, table: ClaimTable, now: () => number): void {
  router.service(ClaimsService, {
    claim: ({ use, runMs }) => claimReplyToWire(table.claim(requireUse(use), runMs, now())),
    complete: ({ use, ending }) => ({
      result: recordReplyToWire(table.complete(requireUse(use), endingFromWire(ending), now())),
    }),
    release: ({ use }) => ({ result: recordReplyToWire(table.release(requireUse(use), now())) }),
  })
}

function requireUse(use: WireUse | undefined) {
  if (use === undefined) throw new ConnectError('the idempotency key is missing', Code.InvalidArgument)
  return keyUseFromWire(use)
}
