/** Operators' documents and INI values: parsing, validation and route matching. */
export * from './document'
export * as field from './field'
export * from './ini'
export * from './route-match'
export * from './sections'
