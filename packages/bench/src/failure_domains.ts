/** Failure domains of a local site. */
export const FAILURE_DOMAINS = ['domain-a', 'domain-b', 'domain-c'] as const;
