/** Priority that the baselines send for every request. */
export const BASELINE_PRIORITY = 5;
