import {ErrorKind, Failure} from '@parsleywood/errors';
import {Result} from 'true-myth';
import type {RouteMatch} from './route_match.js';
import type {SiteRules} from './site_rules.js';

/** When a host that knows no configuration yet may know one. */
const CONFIGURATION_RETRY_MS = 500;

/**
 * Finds route and account of a request, or why it is turned away.
 *
 * @param rules Rules in force; undefined until a configuration is known.
 */
export function matchRequest(
  rules: SiteRules | undefined,
  host: string,
  target: string,
  key: string | undefined,
): Result<RouteMatch, Failure> {
  if (rules === undefined) {
    const message = 'this host knows no configuration yet';
    return refuse(ErrorKind.HOST_UNAVAILABLE, message, CONFIGURATION_RETRY_MS);
  }
  const route = rules.routes.find(host, target);
  if (route === undefined) {
    return refuse(ErrorKind.NOT_FOUND, `no route for ${host}${target}`);
  }
  if (rules.keys === undefined) return Result.ok({rules, route});
  const account = key === undefined ? undefined : rules.keys.find(key);
  if (account === undefined && !route.allowsAnonymous) {
    return refuse(ErrorKind.UNAUTHENTICATED, 'no key of a client account');
  }
  return Result.ok({rules, route, account});
}

function refuse(
  kind: ErrorKind,
  message: string,
  retryAfterMs?: number,
): Result<RouteMatch, Failure> {
  return Result.err(new Failure(kind, message, undefined, retryAfterMs));
}
