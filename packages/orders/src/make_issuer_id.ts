import type {OrderIncarnation} from '@parsleywood/schema/orders';

/**
 * Makes the id of an issuer: one incarnation of one host. An issuer dispatches
 * an order at most once.
 */
export function makeIssuerId(issuer: OrderIncarnation): string {
  return `${issuer.host}/${issuer.incarnation}`;
}
