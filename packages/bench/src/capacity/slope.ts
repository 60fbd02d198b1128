/** Measures a cost at several sizes, repeats each run, and fits a line that predicts the cost at other sizes. */

const RUNS_PER_SIZE = 3

export interface Cost {
  /** Name of the cost, for example `directory memory`. */
  readonly name: string
  /** Unit of the size, for example `servers`. */
  readonly per: string
  readonly unit: string
}

export interface Measurement extends Cost {
  readonly sizes: readonly number[]
  /** Runs at each size that warm up the code and are not measured, default 1. */
  readonly warmUps?: number
  readonly measure: (size: number) => number | Promise<number>
}

export interface Sample {
  readonly size: number
  readonly runs: readonly number[]
}

export interface Point {
  readonly size: number
  readonly median: number
  readonly minimum: number
  readonly maximum: number
}

export interface Slope extends Cost {
  readonly points: readonly Point[]
  readonly slope: number
  readonly intercept: number
  /** Largest deviation of a run from the median at its size, as a share of that median. */
  readonly spread: number
}

export async function measureSlope(measurement: Measurement): Promise<Slope> {
  const samples: Sample[] = []
  for (const size of measurement.sizes) {
    const runs: number[] = []
    for (let run = 0; run < (measurement.warmUps ?? 1); run += 1) await measurement.measure(size)
    for (let run = 0; run < RUNS_PER_SIZE; run += 1) runs.push(await measurement.measure(size))
    samples.push({ size, runs })
  }
  return fitSlope(measurement, samples)
}

/** Fits a line to the medians of existing measurements. */
export function fitSlope({ name, per, unit }: Cost, samples: readonly Sample[]): Slope {
  const points = samples.map(({ size, runs }) => {
    const sorted = [...runs].sort((left, right) => left - right)
    const median = sorted[Math.floor(sorted.length / 2)] ?? 0
    return { size, median, minimum: sorted[0] ?? 0, maximum: sorted.at(-1) ?? 0 }
  })
  return { name, per, unit, points, ...fitLine(points), spread: maxSpread(points) }
}

/** Fits a line to the medians by the method of least squares. */
export function fitLine(points: readonly Point[]): { readonly slope: number; readonly intercept: number } {
  const meanX = mean(points.map((point) => point.size))
  const meanY = mean(points.map((point) => point.median))
  const covariance = sum(points.map((point) => (point.size - meanX) * (point.median - meanY)))
  const variance = sum(points.map((point) => (point.size - meanX) ** 2))
  const slope = variance === 0 ? 0 : covariance / variance
  return { slope, intercept: meanY - slope * meanX }
}

/** Returns the value of the fitted line at a size that was not measured. */
export function extrapolate(slope: Slope, size: number): number {
  return slope.intercept + slope.slope * size
}

function maxSpread(points: readonly Point[]): number {
  return Math.max(
    ...points.map((point) => {
      if (point.median === 0) return 0
      return Math.max(point.maximum - point.median, point.median - point.minimum) / Math.abs(point.median)
    }),
  )
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length
}
