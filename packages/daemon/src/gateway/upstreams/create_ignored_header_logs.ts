import type {EventLog} from '../../host/event_log.js';
import type {GatewayContext} from '../gateway_context.js';
import {IgnoredHeaderLog} from './ignored_header_log.js';

/** Creates the logs of what upstreams name in headers that cannot be read. */
export function createIgnoredHeaderLogs(
  log: EventLog,
): Pick<GatewayContext, 'unreadableRests' | 'unreadableLimits'> {
  return {
    unreadableRests: new IgnoredHeaderLog(
      log,
      'upstream_rest_ignored',
      'retryAfter',
    ),
    unreadableLimits: new IgnoredHeaderLog(
      log,
      'upstream_limit_ignored',
      'limit',
    ),
  };
}
