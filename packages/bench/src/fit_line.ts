/** Fits y = offset + slope * x to points by least squares. */
export function fitLine(points: readonly (readonly [number, number])[]): {
  readonly slope: number;
  readonly offset: number;
} {
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const products = points.map(([x, y]) => (x - meanX) * (y - meanY));
  const squares = points.map(([x]) => (x - meanX) ** 2);
  const slope = mean(products) / mean(squares);
  return {slope, offset: meanY - slope * meanX};
}
