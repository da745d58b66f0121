/** Client accounts of a local site, with their share in the fair queue. */
export const SITE_ACCOUNTS: Readonly<Record<string, number>> = {
  'shift-leads': 4,
  maintenance: 2,
  'quality-office': 1,
};
