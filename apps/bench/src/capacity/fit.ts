/** A line through measured points. @public */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - Pairs of x and y.
 * @returns null for fewer than two different x.
 * @public
 */
export function fitLine(
  points: readonly (readonly [number, number])[],
): Line | null {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  if (count < 2 || variance === 0) return null;
  const slope = covariance / variance;
  return {intercept: meanY - slope * meanX, slope};
}

/** Value of a line; a falling line is not followed below its last point. @public */
export function valueAt(line: Line, x: number, last: number): number {
  if (line.slope < 0) return line.intercept + line.slope * Math.min(x, last);
  return line.intercept + line.slope * x;
}

/** Where a line reaches a limit; Infinity if it never does. @public */
export function reaches(line: Line, limit: number): number {
  if (line.slope <= 0) return line.intercept > limit ? 0 : Infinity;
  return Math.max(0, (limit - line.intercept) / line.slope);
}
