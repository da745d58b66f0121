import type {OrderIncarnation} from '@parsleywood/schema/orders';

/** Names an issuer; one issuer dispatches an order at most once. */
export function makeIssuerId(issuer: OrderIncarnation): string {
  return `${issuer.host}/${issuer.incarnation}`;
}
