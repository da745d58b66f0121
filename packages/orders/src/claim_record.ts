import type {OrderIncarnation} from '@parsleywood/schema/orders';

/** The claims that a witness knows for one order. */
export interface ClaimRecord {
  readonly account: string;
  readonly key: string;
  readonly fingerprint: string;
  /** Every issuer with a claim seen here or reported by a peer, by issuer id. */
  readonly issuers: Map<string, OrderIncarnation>;
  /** Vote of this incarnation; it does not change within its view. */
  vote?: {readonly issuer: OrderIncarnation; readonly view: number};
  /** Number of the newest view in which a claim was seen. */
  view: number;
  /** Wall-clock time until which the record is kept, in milliseconds. */
  keepUntilMs: number;
}
