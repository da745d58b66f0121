/**
 * Time without a message from the relay after which a host subscribes at another:
 * two digests. The hosts that only the relay told of still count as alive then.
 */
const MAX_SILENCE_MS = 1_300;
/** Time for which a host does not subscribe again at a relay that was silent. */
const AVOIDANCE_MS = 3_000;

/**
 * Tracks whether the subscribed relay still sends. Load pattern: several relays die or
 * freeze at once, and their subscribers must not lose the hosts they knew.
 */
export class RelaySilence {
  private relay: string | undefined;
  private heardAtMs = -Infinity;
  private readonly silentSinceMs = new Map<string, number>();

  /** Sets the subscribed relay; it has time to send its first message. */
  setRelay(relay: string | undefined, nowMs: number): void {
    if (relay === this.relay) return;
    this.relay = relay;
    this.heardAtMs = nowMs;
  }

  recordMessage(host: string, nowMs: number): void {
    this.silentSinceMs.delete(host);
    if (host === this.relay) this.heardAtMs = nowMs;
  }

  /** Whether the subscribed relay is silent; it is avoided from then on. */
  isSilent(nowMs: number): boolean {
    const {relay} = this;
    if (relay === undefined) return false;
    const isSilent = nowMs - this.heardAtMs > MAX_SILENCE_MS;
    if (isSilent) this.silentSinceMs.set(relay, nowMs);
    return isSilent;
  }

  isAvoided(host: string, nowMs: number): boolean {
    const sinceMs = this.silentSinceMs.get(host) ?? -Infinity;
    const isAvoided = nowMs - sinceMs < AVOIDANCE_MS;
    if (!isAvoided) this.silentSinceMs.delete(host);
    return isAvoided;
  }
}
