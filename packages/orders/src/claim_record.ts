import type {OrderIncarnation} from '@parsleywood/schema/orders';

/** What a witness knows of one order. */
export interface ClaimRecord {
  readonly account: string;
  readonly key: string;
  readonly fingerprint: string;
  /** Every issuer whose claim was seen here or told by a peer, by name. */
  readonly issuers: Map<string, OrderIncarnation>;
  /** This incarnation's own vote; never changed within its view. */
  vote?: {readonly issuer: OrderIncarnation; readonly view: number};
  /** Newest view in which a claim was seen. */
  view: number;
  /** Wall-clock time until which the record is kept, in milliseconds. */
  keepUntilMs: number;
}
