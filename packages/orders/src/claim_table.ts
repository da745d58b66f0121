import type {OrderClaim, OrderRecord} from '@parsleywood/schema/orders';
import type {ClaimRecord} from './claim_record.js';
import {makeIssuerId} from './make_issuer_id.js';
import {makeOrderId} from './make_order_id.js';

/** The claim records of a witness, by order id. */
export class ClaimTable {
  private readonly records = new Map<string, ClaimRecord>();

  /** @param capacity Maximum number of records; new orders then get no vote. */
  constructor(private readonly capacity: number) {}

  find(orderId: string): ClaimRecord | undefined {
    return this.records.get(orderId);
  }

  isFull(): boolean {
    return this.records.size >= this.capacity;
  }

  /** Records a vote of this witness for a claim. */
  recordVote(claim: OrderClaim, keepUntilMs: number): void {
    const issuer = claim.issuer;
    if (!issuer) return;
    const record = this.getOrCreate(claim, keepUntilMs);
    record.issuers.set(makeIssuerId(issuer), issuer);
    record.vote = {issuer, view: claim.view};
    record.view = Math.max(record.view, claim.view);
  }

  /** Merges a record of a peer; its claims do not count as own votes. */
  mergePeerRecord(peerRecord: OrderRecord): void {
    const record = this.getOrCreate(peerRecord, peerRecord.keepUntilMs);
    for (const issuer of peerRecord.issuers) {
      record.issuers.set(makeIssuerId(issuer), issuer);
    }
    record.view = Math.max(record.view, peerRecord.view);
    record.keepUntilMs = Math.max(record.keepUntilMs, peerRecord.keepUntilMs);
  }

  /** Lists the records of claims seen in the given view or a newer one. */
  listSince(view: number): OrderRecord[] {
    const matching: OrderRecord[] = [];
    for (const record of this.records.values()) {
      if (record.view < view) continue;
      matching.push({
        account: record.account,
        key: record.key,
        fingerprint: record.fingerprint,
        issuers: [...record.issuers.values()],
        view: record.view,
        keepUntilMs: record.keepUntilMs,
      });
    }
    return matching;
  }

  /** Removes records past their retention time, oldest first. */
  expire(wallMs: number): void {
    for (const [orderId, record] of this.records) {
      if (record.keepUntilMs >= wallMs) return;
      this.records.delete(orderId);
    }
  }

  private getOrCreate(
    source: {account: string; key: string; fingerprint: string},
    keepUntilMs: number,
  ): ClaimRecord {
    const {account, key, fingerprint} = source;
    const orderId = makeOrderId(account, key);
    const known = this.records.get(orderId);
    if (known) return known;
    const record: ClaimRecord = {
      account,
      key,
      fingerprint,
      issuers: new Map(),
      view: 0,
      keepUntilMs,
    };
    this.records.set(orderId, record);
    return record;
  }
}
