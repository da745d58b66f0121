import type {PeerBeat} from './peer_beat.js';
import type {RosterPeer} from './roster_peer.js';

/** Silence after which a host counts as gone: four beats of 300 ms. */
const GONE_AFTER_MS = 1_200;
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

  /**
   * @param self IP:port of this host for peers.
   * @param seeds Addresses that are tried for as long as the process runs.
   */
  constructor(
    private readonly self: string,
    private seeds: readonly string[],
  ) {}

  /**
   * Takes a sign of life.
   *
   * @return The incarnation that ran at the address before, when another one
   *     runs there now.
   */
  take(beat: PeerBeat, nowMs: number): string | undefined {
    const before = this.peers.get(beat.peersAddress)?.beat.incarnation;
    this.peers.set(beat.peersAddress, {beat, heardAtMs: nowMs});
    this.learn([beat.peersAddress, ...beat.knownAddresses], nowMs);
    return before === beat.incarnation ? undefined : before;
  }

  /** Addresses to which this host sends its own signs of life. */
  targets(nowMs: number): string[] {
    for (const [address, toldAtMs] of this.addresses) {
      if (nowMs - toldAtMs > FORGET_AFTER_MS) {
        this.addresses.delete(address);
        this.peers.delete(address);
      }
    }
    const all = new Set([...this.seeds, ...this.addresses.keys()]);
    all.delete(this.self);
    return [...all];
  }

  /** Takes other addresses that are always tried. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  hears(address: string, nowMs: number): boolean {
    const peer = this.peers.get(address);
    return peer !== undefined && nowMs - peer.heardAtMs < GONE_AFTER_MS;
  }

  /** Hosts that are heard. */
  alive(nowMs: number): PeerBeat[] {
    return [...this.peers.values()]
      .filter(({heardAtMs}) => nowMs - heardAtMs < GONE_AFTER_MS)
      .map(({beat}) => beat);
  }

  private learn(addresses: readonly string[], nowMs: number): void {
    for (const address of addresses) {
      if (address !== this.self) this.addresses.set(address, nowMs);
    }
  }
}
