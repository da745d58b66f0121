import type {Account} from './account.js';
import type {CallerLimits} from './caller_limits.js';
import type {Route} from './route.js';
import type {Service} from './service.js';

/**
 * One version of the routing configuration that operators publish for a site.
 */
export interface Configuration {
  /** Increases with each publication, not necessarily by 1. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Absent when requests need no API key. */
  readonly accounts?: readonly Account[];
}
