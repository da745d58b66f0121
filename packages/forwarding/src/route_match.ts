import type {Account} from './account.js';
import type {Route} from './route.js';
import type {SiteRules} from './site_rules.js';

/** Route and account of a request, under the rules in force when it came. */
export interface RouteMatch {
  readonly rules: SiteRules;
  readonly route: Route;
  /** Absent for a request without a key. */
  readonly account?: Account | undefined;
}
