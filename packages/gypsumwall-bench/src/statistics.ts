/** Medians and spreads over seeds. */

/** The middle value; the mean of the two middle ones. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  if (sorted.length % 2 === 1) return sorted[middle] ?? NaN;
  return ((sorted[middle - 1] ?? NaN) + (sorted[middle] ?? NaN)) / 2;
}

/** Median with lowest and highest, as `median [low..high]`. */
export function spread(values: readonly number[]): string {
  const low = Math.min(...values);
  const high = Math.max(...values);
  return `${short(median(values))} [${short(low)}..${short(high)}]`;
}

/** Three significant digits. */
export function short(value: number): string {
  if (!Number.isFinite(value)) return String(value);
  return String(Number(value.toPrecision(3)));
}

/** Slope and exponent of a line through points, by least squares. */
export function slope(
  points: ReadonlyArray<{readonly x: number; readonly y: number}>,
): number {
  const count = points.length;
  const meanX = points.reduce((sum, each) => sum + each.x, 0) / count;
  const meanY = points.reduce((sum, each) => sum + each.y, 0) / count;
  let above = 0;
  let below = 0;
  for (const {x, y} of points) {
    above += (x - meanX) * (y - meanY);
    below += (x - meanX) ** 2;
  }
  return above / below;
}
