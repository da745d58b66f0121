import type {OrderSettings} from '@parsleywood/schema/settings';
import {KeyStatus} from './key_status.js';
import {parseKeyTime} from './parse_key_time.js';

const DEFAULT_CLOCK_SKEW_MS = 2_000;
const DEFAULT_CLAIM_TIMEOUT_MS = 1_000;
const DEFAULT_KEY_MAX_AGE_MS = 86_400_000;
/** Longest time from a call's arrival to the last vote for it. */
const VOTE_DELAY_MAX_MS = 900_000;
/** Longest time that a claim may be under way. */
const MESSAGE_AGE_MAX_MS = 60_000;

/** The bounds on clocks, key ages and waiting that orders rest on. */
export class OrderBounds {
  private keyMaxAgeMs = DEFAULT_KEY_MAX_AGE_MS;
  private clockSkewMs = DEFAULT_CLOCK_SKEW_MS;
  private openAtMs = 0;
  claimTimeoutMs = DEFAULT_CLAIM_TIMEOUT_MS;

  update(settings: OrderSettings): void {
    this.keyMaxAgeMs = settings.keyMaxAgeMs;
    this.clockSkewMs = settings.clockSkewMs ?? DEFAULT_CLOCK_SKEW_MS;
    this.claimTimeoutMs = settings.claimTimeoutMs ?? DEFAULT_CLAIM_TIMEOUT_MS;
    this.openAtMs = settings.openAt ? Date.parse(settings.openAt) : 0;
  }

  /** Whether memory that reaches back to a time proves a key unused before. */
  getKeyStatus(key: string, memoryFromMs: number, wallMs: number): KeyStatus {
    const createdMs = parseKeyTime(key);
    if (createdMs !== undefined) {
      if (this.isKeyExpired(key, wallMs)) return KeyStatus.EXPIRED;
      // A key from the future would look new again after a restart.
      if (createdMs > wallMs + this.clockSkewMs) return KeyStatus.NOT_COVERED;
      if (createdMs > memoryFromMs + this.clockSkewMs) return KeyStatus.COVERED;
    }
    return this.coversEveryKey(memoryFromMs, wallMs)
      ? KeyStatus.COVERED
      : KeyStatus.NOT_COVERED;
  }

  /** Whether a timed key is past the longest age. */
  isKeyExpired(key: string, wallMs: number): boolean {
    const createdMs = parseKeyTime(key);
    if (createdMs === undefined) return false;
    return wallMs > createdMs + this.keyMaxAgeMs + this.clockSkewMs;
  }

  /** Whether a claim was sent too long ago to be voted for. */
  isClaimStale(sentAtMs: number, wallMs: number): boolean {
    return wallMs - sentAtMs > MESSAGE_AGE_MAX_MS + this.clockSkewMs;
  }

  /** Until when a witness keeps a record made now. */
  computeVoteExpiryMs(wallMs: number): number {
    const retentionMs =
      this.keyMaxAgeMs + 2 * this.clockSkewMs + VOTE_DELAY_MAX_MS;
    return Math.floor(wallMs) + retentionMs;
  }

  /** Until when an issuer keeps a record made now: longer than any witness. */
  computeClaimExpiryMs(wallMs: number): number {
    return this.computeVoteExpiryMs(wallMs) + 2 * VOTE_DELAY_MAX_MS;
  }

  private coversEveryKey(memoryFromMs: number, wallMs: number): boolean {
    const certainFromMs = memoryFromMs + this.clockSkewMs;
    if (wallMs > certainFromMs + this.keyMaxAgeMs) return true;
    return this.openAtMs > certainFromMs && wallMs >= this.openAtMs;
  }
}
