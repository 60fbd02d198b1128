/** Command line interface for operators, and the entry point of the binary. */
export * from './cli'
export * from './example'
export * from './operator-client'
