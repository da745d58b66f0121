import {FAILURE_DOMAINS} from './failure_domains.js';

/** Chooses a failure domain in turn. */
export function chooseFailureDomain(index: number): string {
  return FAILURE_DOMAINS[index % FAILURE_DOMAINS.length] ?? FAILURE_DOMAINS[0];
}
