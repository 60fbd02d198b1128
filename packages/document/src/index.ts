/** Operator documents and INI values: parsing, validation as a whole, and route matching. */
export * from './document'
export * as field from './field'
export * from './ini'
export * from './route-match'
export * from './sections'
