/** Environment variables of the modules that the harness preloads into the processes of nodes. */

/** Address that `source-address.ts` binds connections to. */
export const SOURCE_ADDRESS_VARIABLE = 'TESTKIT_SOURCE_ADDRESS'
/** Milliseconds by which `clock-offset.ts` sets the wall clock ahead. */
export const CLOCK_OFFSET_VARIABLE = 'TESTKIT_CLOCK_OFFSET_MS'
