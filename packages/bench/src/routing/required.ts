/** Narrowing of values that are present by construction of a run. */
export function required<Value>(value: Value | undefined): Value {
  if (value === undefined) throw new Error('a value of the run is missing')
  return value
}
