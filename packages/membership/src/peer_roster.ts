import type {PeerBeat} from './peer_beat.js';
import type {RosterPeer} from './peer_sighting.js';

/** Silence after which a host counts as gone: four beats of 300 ms. */
const GONE_AFTER_MS = 1_200;
/**
 * The same where relays tell of hosts: two beats of 600 ms may be lost, and two
 * digests of 600 ms are on the way.
 */
const RELAYED_GONE_AFTER_MS = 3_000;
/** Silence after which an address that is no seed is no longer tried. */
const FORGET_AFTER_MS = 30_000;

/**
 * The hosts of a site that has no published host list: seeds are asked first, and
 * each host tells the addresses that it hears. Load pattern: hosts are added,
 * killed, cut off and started again empty, several at once.
 */
export class PeerRoster {
  private readonly peers = new Map<string, RosterPeer>();
  /** When an address was last heard or told of. */
  private readonly addresses = new Map<string, number>();
  /** When a host was last heard without a relay between. */
  private readonly directAtMs = new Map<string, number>();
  private goneAfterMs = GONE_AFTER_MS;

  /**
   * @param self IP:port of this host for peers.
   * @param seeds Addresses that are tried for as long as the process runs.
   */
  constructor(
    private readonly self: string,
    private seeds: readonly string[],
  ) {}

  /** Sets whether hosts are heard of by relays, which takes longer. */
  setRelayed(isRelayed: boolean): void {
    this.goneAfterMs = isRelayed ? RELAYED_GONE_AFTER_MS : GONE_AFTER_MS;
  }

  /**
   * Takes a sign of life.
   *
   * @return The incarnation that ran at the address before, when another one
   *     runs there now.
   */
  take(beat: PeerBeat, nowMs: number): string | undefined {
    this.directAtMs.set(beat.peersAddress, nowMs);
    this.learn(beat.knownAddresses, nowMs);
    return this.note(beat, nowMs);
  }

  /**
   * Takes what a relay tells of another host.
   *
   * @param heardAtMs When the relay heard that host.
   * @return As of take; nothing when this host knows newer.
   */
  takeSighting(beat: PeerBeat, heardAtMs: number): string | undefined {
    const known = this.peers.get(beat.peersAddress);
    const isOld = known !== undefined && known.heardAtMs >= heardAtMs;
    if (isOld || beat.peersAddress === this.self) return undefined;
    return this.note(beat, heardAtMs);
  }

  /** Addresses to which this host sends its own signs of life. */
  targets(nowMs: number): string[] {
    for (const [address, toldAtMs] of this.addresses) {
      if (nowMs - toldAtMs > FORGET_AFTER_MS) {
        this.addresses.delete(address);
        this.peers.delete(address);
        this.directAtMs.delete(address);
      }
    }
    return this.withoutSelf([...this.seeds, ...this.addresses.keys()]);
  }

  /** Seeds, and hosts that send their signs of life here. */
  correspondents(nowMs: number): string[] {
    const heard = [...this.directAtMs.keys()].filter(address =>
      this.hears(address, nowMs),
    );
    return this.withoutSelf([...this.seeds, ...heard]);
  }

  /** Takes other addresses that are always tried. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Whether a host is heard without a relay between. */
  hears(address: string, nowMs: number): boolean {
    const atMs = this.directAtMs.get(address) ?? -Infinity;
    return nowMs - atMs < this.goneAfterMs;
  }

  /** Hosts that are heard, or heard of. */
  alive(nowMs: number): PeerBeat[] {
    return this.sightings(nowMs).map(({beat}) => beat);
  }

  /** The same, with the time at which each was heard. */
  sightings(nowMs: number): RosterPeer[] {
    return [...this.peers.values()].filter(
      ({heardAtMs}) => nowMs - heardAtMs < this.goneAfterMs,
    );
  }

  private note(beat: PeerBeat, heardAtMs: number): string | undefined {
    const before = this.peers.get(beat.peersAddress)?.beat.incarnation;
    this.peers.set(beat.peersAddress, {beat, heardAtMs});
    this.learn([beat.peersAddress], heardAtMs);
    return before === beat.incarnation ? undefined : before;
  }

  private learn(addresses: readonly string[], nowMs: number): void {
    for (const address of addresses) {
      if (address !== this.self) this.addresses.set(address, nowMs);
    }
  }

  private withoutSelf(addresses: readonly string[]): string[] {
    return [...new Set(addresses)].filter(address => address !== this.self);
  }
}
