/** Returns a value that always exists in a correct simulation, and throws if it is missing. */
export function required<Value>(value: Value | undefined): Value {
  if (value === undefined) throw new Error('a value required by the simulation is missing')
  return value
}
