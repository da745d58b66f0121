/** The middle one of some values. */
export function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted.length >> 1;
  const high = sorted[middle] ?? NaN;
  const low = sorted[sorted.length - 1 - middle] ?? NaN;
  return (low + high) / 2;
}
