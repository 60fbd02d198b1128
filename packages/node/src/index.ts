export * from './settings'
