/** Addresses of processes: an IP address with a port, for example `127.0.0.1:8080` or `[::1]:8080`. */
import { isIPv4, isIPv6 } from 'node:net'

const ADDRESS_PATTERN = /^(?:([\d.]+)|\[([\da-fA-F:.]+)\]):(\d{1,5})$/
const MAX_PORT = 65_535

/** Whether a process can be reached at the address, as far as its form tells. */
export function isAddress(text: string): boolean {
  const [, ipv4 = '', ipv6 = '', port] = ADDRESS_PATTERN.exec(text) ?? []
  if (!isIPv4(ipv4) && !isIPv6(ipv6)) return false
  return Number(port) >= 1 && Number(port) <= MAX_PORT
}
