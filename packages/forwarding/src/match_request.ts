import {ErrorKind, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth';
import type {RouteMatch} from './route_match.js';
import type {SiteRules} from './site_rules.js';

/** Retry delay while this host has not loaded a configuration. */
const CONFIGURATION_RETRY_AFTER_MS = 500;

/**
 * Finds the route and the client account of a request, or the reason to reject
 * it.
 *
 * @param rules Active rules; undefined until a configuration has been loaded.
 * @param startRetryAfterMs Retry delay of a host without a configuration.
 */
export function matchRequest(
  rules: SiteRules | undefined,
  host: string,
  target: string,
  key: string | undefined,
  startRetryAfterMs = CONFIGURATION_RETRY_AFTER_MS,
): Result<RouteMatch, Failure> {
  if (rules === undefined) {
    const message = 'this host has not loaded a configuration yet';
    return reject(ErrorKind.HOST_UNAVAILABLE, message, startRetryAfterMs);
  }
  const route = rules.routes.find(host, target);
  if (route === undefined) {
    return reject(ErrorKind.NOT_FOUND, `no route for ${host}${target}`);
  }
  if (rules.keys === undefined) return Result.ok({rules, route});
  const account = key === undefined ? undefined : rules.keys.find(key);
  if (account === undefined && !route.allowsAnonymous) {
    return reject(ErrorKind.UNAUTHENTICATED, 'no key of a client account');
  }
  return Result.ok({rules, route, account});
}

function reject(
  kind: ErrorKind,
  message: string,
  retryAfterMs?: number,
): Result<RouteMatch, Failure> {
  return Result.err(new Failure(kind, message, undefined, retryAfterMs));
}
