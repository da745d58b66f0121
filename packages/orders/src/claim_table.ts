import type {OrderClaim, OrderRecord} from '@parsleywood/schema/orders';
import type {ClaimRecord} from './claim_record.js';
import {nameIssuer} from './make_issuer_id.js';
import {nameOrder} from './make_order_id.js';

/** The claims that a witness knows of, by order. */
export class ClaimTable {
  private readonly records = new Map<string, ClaimRecord>();

  /** @param capacity Records beyond which no new order gets a vote. */
  constructor(private readonly capacity: number) {}

  find(order: string): ClaimRecord | undefined {
    return this.records.get(order);
  }

  isFull(): boolean {
    return this.records.size >= this.capacity;
  }

  /** Records this witness's vote. */
  vote(claim: OrderClaim, keepUntilMs: number): void {
    const issuer = claim.issuer;
    if (!issuer) return;
    const record = this.open(claim, keepUntilMs);
    record.issuers.set(nameIssuer(issuer), issuer);
    record.vote = {issuer, view: claim.view};
    record.view = Math.max(record.view, claim.view);
  }

  /** Records claims that a peer knows of; they never count as votes. */
  mark(told: OrderRecord): void {
    const record = this.open(told, told.keepUntilMs);
    for (const issuer of told.issuers) {
      record.issuers.set(nameIssuer(issuer), issuer);
    }
    record.view = Math.max(record.view, told.view);
    record.keepUntilMs = Math.max(record.keepUntilMs, told.keepUntilMs);
  }

  /** The claims seen in a view or a newer one. */
  listSince(view: number): OrderRecord[] {
    const told: OrderRecord[] = [];
    for (const record of this.records.values()) {
      if (record.view < view) continue;
      told.push({
        account: record.account,
        key: record.key,
        fingerprint: record.fingerprint,
        issuers: [...record.issuers.values()],
        view: record.view,
        keepUntilMs: record.keepUntilMs,
      });
    }
    return told;
  }

  /** Drops the records, oldest first, whose keys can come no more. */
  expire(wallMs: number): void {
    for (const [order, record] of this.records) {
      if (record.keepUntilMs >= wallMs) return;
      this.records.delete(order);
    }
  }

  private open(
    source: {account: string; key: string; fingerprint: string},
    keepUntilMs: number,
  ): ClaimRecord {
    const {account, key, fingerprint} = source;
    const order = nameOrder(account, key);
    const known = this.records.get(order);
    if (known) return known;
    const record: ClaimRecord = {
      account,
      key,
      fingerprint,
      issuers: new Map(),
      view: 0,
      keepUntilMs,
    };
    this.records.set(order, record);
    return record;
  }
}
