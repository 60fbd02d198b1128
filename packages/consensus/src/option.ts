/**
 * Re-exports `Option` of ts-results for both ways of loading the library: Node.js sees only a default export in its
 * CommonJS build, while its ES build for bundlers has only named exports.
 */
import * as library from 'ts-results'

type Loaded = Pick<typeof library, 'None' | 'Some'>

// Accessed by name at run time, because bundlers warn about a default import that the ES build does not have.
const loaded = (Reflect.get(library, 'default') as Loaded | undefined) ?? library

export const None = loaded.None
export const Some = loaded.Some
export type { Option } from 'ts-results'
