/** Types and helpers shared by all packages: result codes, failures, branded ids, random sources and unit parsers. */
export * from './address'
export * from './failure'
export * from './id'
export * from './random'
export * from './rendezvous'
export * from './result-code'
export * from './unit'
