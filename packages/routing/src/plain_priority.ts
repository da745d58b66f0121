/** Priority that the baselines send for every request. */
export const PLAIN_PRIORITY = 5;
