import type {ColdChange} from './cold_change.js';
import {ColdSource} from './cold_source.js';
import {hashName} from './hash_name.js';
import {TokenBucket} from './token_bucket.js';

/** An upstream of a service with a cold start, as one host sees it. */
export class ColdUpstream {
  readonly hash: number;
  private statedUntilMs = -Infinity;
  private startedUntilMs = -Infinity;
  /** When it last became cold. */
  private beganMs = Infinity;
  private wasCold = false;
  private source = ColdSource.ENTRY;
  private bucket: TokenBucket | undefined;

  constructor(
    readonly id: string,
    readonly service: string,
  ) {
    this.hash = hashName(id);
  }

  /** Time until which it is cold. */
  get untilMs(): number {
    return Math.max(this.statedUntilMs, this.startedUntilMs);
  }

  /** Rate of this host's part; 0 while it owns none. */
  get ownRate(): number {
    return this.bucket?.rate ?? 0;
  }

  /** Applies the cold time that its newest entry states. */
  recordStated(untilMs: number): void {
    if (untilMs > this.untilMs) this.source = ColdSource.ENTRY;
    this.statedUntilMs = untilMs;
  }

  /** Applies that it has started. */
  recordStart(untilMs: number, source: ColdSource): void {
    if (untilMs > this.untilMs) this.source = source;
    this.startedUntilMs = Math.max(this.startedUntilMs, untilMs);
  }

  /** Records that it has become cold; this host owns no part then. */
  begin(nowMs: number): void {
    this.beganMs = nowMs;
    this.bucket = undefined;
  }

  wasColdAt(atMs: number): boolean {
    return this.beganMs <= atMs && atMs < this.untilMs;
  }

  /** Returns whether it has become cold or warm since the last call. */
  readChange(nowMs: number): ColdChange | undefined {
    const {id, source, untilMs, wasCold} = this;
    const isCold = untilMs > nowMs;
    if (isCold === wasCold) return undefined;
    this.wasCold = isCold;
    return {
      upstream: id,
      isCold,
      source,
      remainingMs: Math.max(0, untilMs - nowMs),
      ageMs: nowMs - this.beganMs,
    };
  }

  /** Sets this host's part of the rate; 0 for none. A new part starts empty. */
  assign(perSecond: number, nowMs: number): void {
    if (perSecond <= 0) this.bucket = undefined;
    else if (this.bucket) this.bucket.setRate(perSecond, 1, nowMs);
    else this.bucket = new TokenBucket(perSecond, 1, nowMs);
  }

  /** Takes one request of this host's part. */
  take(nowMs: number): void {
    this.bucket?.take(nowMs);
  }

  /** Time until this host's part allows a request; Infinity if it has no part. */
  getWaitMs(nowMs: number): number {
    return this.bucket?.getWaitMs(1, nowMs) ?? Infinity;
  }
}
