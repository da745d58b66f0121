/**
 * Time without a message from the relay after which a host reads the store itself:
 * two digests of 600 ms.
 */
const MAX_SILENCE_MS = 1_200;
/**
 * Age of the relay's last answer from the store after which a host reads the store
 * itself. A watch without changes returns after 2.5 s, and a digest tells of it up to
 * 600 ms later.
 */
const MAX_CONTACT_AGE_MS = 4_000;

/**
 * Decides whether a host watches the store itself. Load pattern: hundreds of hosts
 * before a store of which each call has a price and all calls together a limit. Relays
 * watch it and pass its changes on; the other hosts watch it only while they hear no
 * relay that the store answers.
 */
export class WatchDuty {
  private relay: string | undefined;
  private heardAtMs = -Infinity;
  private contactAtMs = -Infinity;

  /** @param relay Relay that passes changes on; undefined if this host has none. */
  setRelay(relay: string | undefined): void {
    if (relay === this.relay) return;
    this.relay = relay;
    this.heardAtMs = -Infinity;
    this.contactAtMs = -Infinity;
  }

  /** Records a message of any kind from a host. */
  recordMessage(host: string, nowMs: number): void {
    if (host === this.relay) this.heardAtMs = nowMs;
  }

  /**
   * Records what a host tells of its contact with the store.
   *
   * @param ageMs Time since the store's last answer to that host; undefined while it
   *     does not answer.
   */
  recordContact(host: string, ageMs: number | undefined, nowMs: number): void {
    if (host !== this.relay) return;
    this.contactAtMs = ageMs === undefined ? -Infinity : nowMs - ageMs;
  }

  mustWatch(nowMs: number): boolean {
    return (
      nowMs - this.heardAtMs > MAX_SILENCE_MS ||
      nowMs - this.contactAtMs > MAX_CONTACT_AGE_MS
    );
  }
}
