/**
 * Time for which requests are refused, the first time and after each trial that ends in
 * a crash, in milliseconds. The last one is for those that crashed upstreams alone.
 */
export const BLOCK_TIMES_MS: readonly number[] = [
  5_000, 120_000, 600_000, 3_600_000,
];
