import type {Account} from './account.js';
import type {CallerLimits} from './caller_limits.js';
import type {Route} from './route.js';
import type {Service} from './service.js';

/** One version of all that operators publish for a site. */
export interface Configuration {
  /** Grows with each publication, in uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Absent where requests need no key. */
  readonly accounts?: readonly Account[];
}
