import type {RequestTraits} from './request_traits.js';

/** Lists the traits of a request, scopes first. */
export function listTraits({scopes, parts}: RequestTraits): string[] {
  return [...scopes, ...parts];
}
