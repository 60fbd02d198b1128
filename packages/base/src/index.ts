/** Vocabulary shared by every package: result codes, failures, branded ids and random sources. */
export * from './failure'
export * from './id'
export * from './random'
export * from './result-code'
export * from './unit'
