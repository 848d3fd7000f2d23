/** Summary statistics over seeds, and formatting of numbers. */

/** The median; for an even count, the mean of the two middle values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middleIndex = sorted.length >> 1;
  if (sorted.length % 2 === 1) return sorted[middleIndex] ?? NaN;
  return ((sorted[middleIndex - 1] ?? NaN) + (sorted[middleIndex] ?? NaN)) / 2;
}

/** Formats the median and the range as `median [low..high]`. */
export function formatMedianAndRange(values: readonly number[]): string {
  const low = Math.min(...values);
  const high = Math.max(...values);
  return `${formatNumber(median(values))} [${formatNumber(low)}..${formatNumber(high)}]`;
}

/** Formats the mean and its standard error as `mean +- error`. */
export function formatMeanAndError(values: readonly number[]): string {
  const mean = meanOf(values);
  const squares = values.map((value) => (value - mean) ** 2);
  const freedom = Math.max(1, values.length - 1);
  const variance = squares.reduce((sum, one) => sum + one, 0) / freedom;
  const error = Math.sqrt(variance / values.length);
  return `${formatNumber(mean)} +- ${formatNumber(error)}`;
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Formats a number with three significant digits. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) return String(value);
  return String(Number(value.toPrecision(3)));
}

/**
 * Slope of the least-squares line through the points; an exponent if both axes
 * are logarithms.
 */
export function fitSlope(
  points: ReadonlyArray<{readonly x: number; readonly y: number}>,
): number {
  const count = points.length;
  const meanX = points.reduce((sum, each) => sum + each.x, 0) / count;
  const meanY = points.reduce((sum, each) => sum + each.y, 0) / count;
  let numerator = 0;
  let denominator = 0;
  for (const {x, y} of points) {
    numerator += (x - meanX) * (y - meanY);
    denominator += (x - meanX) ** 2;
  }
  return numerator / denominator;
}
