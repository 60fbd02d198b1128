/** Node process: settings, wiring of roles, timers, listeners, metrics and shutdown. */
export * from './settings'
