import type {Settings} from '@parsleywood/schema/settings';
import {FAILURE_DOMAINS} from './failure_domains.js';
import {SiteNames} from './site_names.js';

/** Makes the overlay of a local site whose orders are open from a time on. */
export function makeOverlay(
  openAt: Date,
): Pick<Settings, 'site'> & {orders: {openAt: string}} {
  return {
    site: {
      name: SiteNames.SITE,
      region: SiteNames.REGION,
      failureDomains: [...FAILURE_DOMAINS],
    },
    orders: {openAt: openAt.toISOString()},
  };
}
