/** The module of undici that defines only its client has no type declarations of its own. */
declare module 'undici/lib/dispatcher/client.js' {
  export { Client as default } from 'undici'
}
