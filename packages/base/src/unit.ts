/** Parsers for values with units in settings and documents: durations, sizes and percentages. */

const DURATION_UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 }
const SIZE_UNITS: Readonly<Record<string, number>> = { B: 1, KiB: 1024, MiB: 1_048_576, GiB: 1_073_741_824 }

/** Parses `250ms`, `10s`, `5m` or `1h` to milliseconds; undefined when malformed. */
export function parseDuration(text: string): number | undefined {
  return parseWithUnit(text, DURATION_UNITS_MS)
}

/** Parses `512B`, `64KiB`, `10MiB` or `1GiB` to bytes; undefined when malformed. */
export function parseSize(text: string): number | undefined {
  return parseWithUnit(text, SIZE_UNITS)
}

/** Parses `10%` or `0.5%` to a number between 0 and 1; undefined when malformed. */
export function parseShare(text: string): number | undefined {
  const match = /^(\d+(?:\.\d+)?)%$/.exec(text.trim())
  const percent = match === null ? Number.NaN : Number(match[1])
  return percent >= 0 && percent <= 100 ? percent / 100 : undefined
}

function parseWithUnit(text: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = /^(\d+(?:\.\d+)?)\s*([A-Za-z]+)$/.exec(text.trim())
  const factor = units[match?.[2] ?? '']
  if (match === null || factor === undefined) return undefined
  return Math.round(Number(match[1]) * factor)
}
