/** Least-squares lines through measured points. */

/** One measured point. */
export interface Point {
  x: number
  y: number
}

/** One measured dependence. */
export interface Slope {
  name: string
  /** What grows. */
  over: string
  unit: string
  points: Point[]
}

/** A line with how well it describes its points, 1 being exactly. */
export interface Line {
  slope: number
  intercept: number
  rSquared: number
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** The least-squares line through at least two points of different x. */
export function fitLine (points: readonly Point[]): Line {
  const meanX = mean(points.map(({ x }) => x))
  const meanY = mean(points.map(({ y }) => y))
  const sumXY = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const sumXX = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  const sumYY = points.reduce((sum, { y }) => sum + (y - meanY) ** 2, 0)
  const slope = sumXY / sumXX
  return { slope, intercept: meanY - slope * meanX, rSquared: sumYY === 0 ? 1 : sumXY ** 2 / (sumXX * sumYY) }
}
