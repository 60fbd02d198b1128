/** Returns the value, and throws if it is undefined, which never happens in a correct simulation. */
export function requireDefined<Value>(value: Value | undefined): Value {
  if (value === undefined) throw new Error('expected a defined value in the simulation, got undefined')
  return value
}
