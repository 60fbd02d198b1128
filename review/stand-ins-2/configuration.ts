/** A configuration with one route to one service. */
export interface RouteOptions {
  readonly service: string
  readonly host: string
  readonly kind: 'safe' | 'unsafe'
  readonly timeout: string
  readonly version?: number
  readonly base?: number
}

const ROUTE_COLUMNS = ['name', 'host', 'path_prefix', 'kind', 'timeout', 'target_latency', 'max_attempts', 'service']
const SERVICE_COLUMNS = ['name', 'health_path', 'max_connections', 'protocol', 'tls']
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 1_048_576,
  header_timeout: '3000ms',
  idle_timeout: '15000ms',
}

export function configuration({ service, host, kind, timeout, version = 3, base = 0 }: RouteOptions): object {
  return {
    version,
    base_version: base,
    routes: { columns: ROUTE_COLUMNS, rows: [['r-only', host, '/slot/', kind, timeout, '300ms', 2, service]] },
    services: { columns: SERVICE_COLUMNS, rows: [[service, '/health', 260, 'h1', false]] },
    limits: LIMITS,
  }
}
