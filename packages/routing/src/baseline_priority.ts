/** Priority that the baseline routers give to every request. */
export const BASELINE_PRIORITY = 5;
