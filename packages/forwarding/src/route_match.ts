import type {Account} from './account.js';
import type {Route} from './route.js';
import type {SiteRules} from './site_rules.js';

/**
 * Route and client account of a request, by the rules active at its arrival.
 */
export interface RouteMatch {
  readonly rules: SiteRules;
  readonly route: Route;
  /** Absent for an anonymous request. */
  readonly account?: Account | undefined;
}
