/**
 * Serving side of document delivery and of forwarded requests. Every node answers `Fetch` from the documents it holds;
 * replicas also answer `Watch`, `Submit` and `Lease`.
 */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect'
import { environmentName, type Environment, type Failure } from '@bilberrystall/base'
import { documentInForce } from '@bilberrystall/control'
import { DeliveryService } from '@bilberrystall/rpc'
import type { Result } from 'neverthrow'
import { submitResponse, type Changes } from './control-changes'
import type { DocumentKeeper, HeldDocument } from './control-documents'
import type { LeaseServer } from './control-lease-server'
import type { ReplicaHost } from './control-replica'

const LONGEST_AGE_MS = 2 ** 32 - 1

export interface DeliveryOptions {
  readonly keeper: DocumentKeeper
  readonly now: () => number
  /** Undefined on nodes without the control role. */
  readonly control:
    | {
        readonly host: Pick<ReplicaHost, 'read' | 'state'>
        readonly changes: Changes
        readonly leases: LeaseServer
      }
    | undefined
}

export function deliveryRoutes(router: ConnectRouter, options: DeliveryOptions): void {
  const { keeper, now, control } = options
  router.service(DeliveryService, {
    fetch: (request) => {
      const environment = environmentName(request.environment)
      const document = keeper.inForce(environment)
      if (document === undefined || document.revision < request.minimumRevision) {
        throw new ConnectError(`no revision ${request.minimumRevision} of ${environment} here`, Code.NotFound)
      }
      const age = Math.min(LONGEST_AGE_MS, Math.ceil(now() - keeper.confirmedAt(environment)))
      return { document: documentMessage(document), confirmedAgeMs: age }
    },
    watch: async function* (request, context) {
      const { host } = required(control)
      const environment = environmentName(request.environment)
      const changes = new Changed(keeper, environment, context.signal)
      try {
        unwrap(await host.read())
        let sent = Number(request.revision)
        yield { revision: BigInt(documentInForce(host.state, environment)?.revision ?? 0) }
        for (;;) {
          const document = documentInForce(host.state, environment)
          if (document !== undefined && document.revision > sent) {
            sent = document.revision
            yield { document: documentMessage({ environment, ...document }), revision: BigInt(document.revision) }
          }
          if (!(await changes.next(sent))) return
        }
      } finally {
        changes.close()
      }
    },
    submit: async (request) => submitResponse(unwrap(await required(control).changes.handle(request.command))),
    lease: async (request) => unwrap(await required(control).leases.lease(request)),
  })
}

export function documentMessage(document: HeldDocument) {
  const { environment, revision, digest, text } = document
  return { environment, revision: BigInt(revision), digest, text }
}

/** Waits for a newer document of one environment. */
class Changed {
  #newest = 0
  #wake: (() => void) | undefined
  #ended = false
  readonly #unsubscribe: () => void

  constructor(keeper: DocumentKeeper, environment: Environment, signal: AbortSignal) {
    this.#unsubscribe = keeper.subscribe((document) => {
      if (document.environment !== environment) return
      this.#newest = document.revision
      this.#wake?.()
    })
    signal.addEventListener('abort', () => {
      this.#ended = true
      this.#wake?.()
    })
  }

  /** Resolves with true once a revision above `sent` exists, with false when the watch ended. */
  async next(sent: number): Promise<boolean> {
    while (!this.#ended && this.#newest <= sent) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve
      })
    }
    return !this.#ended
  }

  close(): void {
    this.#unsubscribe()
  }
}

function required<Value>(control: Value | undefined): Value {
  if (control === undefined) throw new ConnectError('this node has no control role', Code.Unimplemented)
  return control
}

function unwrap<Value>(result: Result<Value, Failure>): Value {
  if (result.isOk()) return result.value
  const { code, message } = result.error
  throw new ConnectError(message, code === 'formatUnknown' ? Code.InvalidArgument : Code.Unavailable)
}
