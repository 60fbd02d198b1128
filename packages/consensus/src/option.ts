/**
 * `Option` of ts-results for every way the sources are loaded: Node sees only a default export in the library's CommonJS
 * build, its ES build for bundlers has only named exports.
 */
import * as library from 'ts-results'

type Loaded = Pick<typeof library, 'None' | 'Some'>

// Read by name at run time, because bundlers warn about a default import that the ES build lacks.
const loaded = (Reflect.get(library, 'default') as Loaded | undefined) ?? library

export const None = loaded.None
export const Some = loaded.Some
export type { Option } from 'ts-results'
