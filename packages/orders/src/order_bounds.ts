import type {OrderSettings} from '@parsleywood/schema/settings';
import {KeyCover} from './key_coverage.js';
import {readKeyTime} from './parse_key_time.js';

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
  coverKey(key: string, memoryFromMs: number, wallMs: number): KeyCover {
    const createdMs = readKeyTime(key);
    if (createdMs !== undefined) {
      if (this.isExpired(key, wallMs)) return KeyCover.EXPIRED;
      // A key from the future would look new again after a restart.
      if (createdMs > wallMs + this.clockSkewMs) return KeyCover.NOT_COVERED;
      if (createdMs > memoryFromMs + this.clockSkewMs) return KeyCover.COVERED;
    }
    return this.coversAnyKey(memoryFromMs, wallMs)
      ? KeyCover.COVERED
      : KeyCover.NOT_COVERED;
  }

  /** Whether a timed key is past the longest age. */
  isExpired(key: string, wallMs: number): boolean {
    const createdMs = readKeyTime(key);
    if (createdMs === undefined) return false;
    return wallMs > createdMs + this.keyMaxAgeMs + this.clockSkewMs;
  }

  /** Whether a claim was sent too long ago to be voted for. */
  isStale(sentAtMs: number, wallMs: number): boolean {
    return wallMs - sentAtMs > MESSAGE_AGE_MAX_MS + this.clockSkewMs;
  }

  /** Until when a witness keeps a record made now. */
  keepVoteUntil(wallMs: number): number {
    const keptMs = this.keyMaxAgeMs + 2 * this.clockSkewMs + VOTE_DELAY_MAX_MS;
    return Math.floor(wallMs) + keptMs;
  }

  /** Until when an issuer keeps a record made now: longer than any witness. */
  keepClaimUntil(wallMs: number): number {
    return this.keepVoteUntil(wallMs) + 2 * VOTE_DELAY_MAX_MS;
  }

  private coversAnyKey(memoryFromMs: number, wallMs: number): boolean {
    const memoryCertainFromMs = memoryFromMs + this.clockSkewMs;
    if (wallMs > memoryCertainFromMs + this.keyMaxAgeMs) return true;
    return this.openAtMs > memoryCertainFromMs && wallMs >= this.openAtMs;
  }
}
