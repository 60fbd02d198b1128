/**
 * Preloaded into the processes of nodes: binds each outgoing IPv4 connection on the loopback interface to the address of
 * the node, so that a fault proxy can tell the nodes apart. Every address in 127.0.0.0/8 is local on Linux.
 */
import { Socket, type TcpNetConnectOpts } from 'node:net'
import { SOURCE_ADDRESS_VARIABLE } from './preload-variables'

/** `net.connect` passes one array, whose first element is the options. */
type ConnectArguments = [TcpNetConnectOpts | [TcpNetConnectOpts, ...unknown[]], ...unknown[]]

const localAddress = process.env[SOURCE_ADDRESS_VARIABLE]
const original = Reflect.get(Socket.prototype, 'connect') as (...args: unknown[]) => Socket

function bindToSource(options: TcpNetConnectOpts): TcpNetConnectOpts {
  const isLoopback = options.host?.startsWith('127.') === true
  return isLoopback ? { ...options, localAddress: options.localAddress ?? localAddress } : options
}

Socket.prototype.connect = function (this: Socket, ...args: ConnectArguments): Socket {
  const [first, ...rest] = args
  if (!Array.isArray(first))
    return original.call(this, typeof first === 'object' ? bindToSource(first) : first, ...rest)
  first[0] = bindToSource(first[0])
  return original.call(this, first, ...rest)
} as Socket['connect']
