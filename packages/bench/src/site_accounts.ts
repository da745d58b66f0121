/** Client accounts of a local site, with their share in the fair queue. */
export const SITE_ACCOUNTS: Readonly<Record<string, number>> = {
  'team-a': 4,
  'team-b': 2,
  'team-c': 1,
};
