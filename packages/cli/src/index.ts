/** Command line for operators and the entry point of the binary. */
export * from './cli'
export * from './operator-client'
