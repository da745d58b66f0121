import type {OrderSettings} from '@parsleywood/schema/settings';
import {KeyStatus} from './key_status.js';
import {parseKeyTime} from './parse_key_time.js';

const DEFAULT_CLOCK_SKEW_MS = 2_000;
const DEFAULT_CLAIM_TIMEOUT_MS = 1_000;
const DEFAULT_KEY_MAX_AGE_MS = 86_400_000;
/** Maximum time from the arrival of a call to the last vote for its order. */
const VOTE_DELAY_MAX_MS = 900_000;
/** Maximum transit time of a claim message; older ones get no vote. */
const MESSAGE_AGE_MAX_MS = 60_000;

/** Bounds on clock skew, key age and waiting time, taken from the settings. */
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

  /**
   * Decides whether claim records show every earlier use of a key.
   *
   * @param memoryFromMs Time from which the claim records are complete.
   */
  getKeyStatus(key: string, memoryFromMs: number, wallMs: number): KeyStatus {
    const createdMs = parseKeyTime(key);
    if (createdMs !== undefined) {
      if (this.isKeyExpired(key, wallMs)) return KeyStatus.EXPIRED;
      // After a restart, a key with a future time would pass for a new one.
      if (createdMs > wallMs + this.clockSkewMs) return KeyStatus.NOT_COVERED;
      if (createdMs > memoryFromMs + this.clockSkewMs) return KeyStatus.COVERED;
    }
    return this.coversEveryKey(memoryFromMs, wallMs)
      ? KeyStatus.COVERED
      : KeyStatus.NOT_COVERED;
  }

  /** Whether a UUIDv7 key exceeds the maximum age; false for other keys. */
  isKeyExpired(key: string, wallMs: number): boolean {
    const createdMs = parseKeyTime(key);
    if (createdMs === undefined) return false;
    return wallMs > createdMs + this.keyMaxAgeMs + this.clockSkewMs;
  }

  /** Whether a claim was sent too long ago to get a vote. */
  isClaimStale(sentAtMs: number, wallMs: number): boolean {
    return wallMs - sentAtMs > MESSAGE_AGE_MAX_MS + this.clockSkewMs;
  }

  /** Computes the wall-clock time until which a witness keeps a new record. */
  computeVoteExpiryMs(wallMs: number): number {
    const retentionMs =
      this.keyMaxAgeMs + 2 * this.clockSkewMs + VOTE_DELAY_MAX_MS;
    return Math.floor(wallMs) + retentionMs;
  }

  /**
   * Computes the wall-clock time until which an issuer keeps a new claim, which
   * is longer than any witness keeps its record.
   */
  computeClaimExpiryMs(wallMs: number): number {
    return this.computeVoteExpiryMs(wallMs) + 2 * VOTE_DELAY_MAX_MS;
  }

  private coversEveryKey(memoryFromMs: number, wallMs: number): boolean {
    const certainFromMs = memoryFromMs + this.clockSkewMs;
    if (wallMs > certainFromMs + this.keyMaxAgeMs) return true;
    return this.openAtMs > certainFromMs && wallMs >= this.openAtMs;
  }
}
