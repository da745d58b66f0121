import type {PeerHeartbeat} from './peer_heartbeat.js';
import type {PeerSighting} from './peer_sighting.js';
import type {ReachState} from './reach_state.js';

/** Time without a heartbeat until a host counts as dead: four of 300 ms. */
const DIRECT_PEER_TIMEOUT_MS = 1_200;
/**
 * The same timeout in a site with relays. A sighting is up to 1.5 s old: a heartbeat
 * of 600 ms, a digest between relays of 300 ms and one to the host of 600 ms. When
 * relays die, their hosts are heard through others after 2.6 s more.
 */
const RELAYED_PEER_TIMEOUT_MS = 4_200;
/** Time without news after which an address that is no seed is dropped. */
const ADDRESS_EXPIRY_MS = 30_000;

/**
 * Tracks the hosts of a site without a published host list. A host contacts its
 * seeds first, and hosts exchange the addresses from which they hear. Designed
 * for several hosts at once that are added, killed, partitioned or restarted
 * with empty state.
 */
export class PeerRoster {
  private readonly peers = new Map<string, PeerSighting>();
  /** When an address was last heard from or learned from a peer. */
  private readonly addressSeenMs = new Map<string, number>();
  /** When the last heartbeat came directly from a host, not through a relay. */
  private readonly lastDirectHeartbeatMs = new Map<string, number>();
  private peerTimeoutMs = DIRECT_PEER_TIMEOUT_MS;

  /**
   * @param self IP:port at which this host accepts peer traffic.
   * @param seeds Addresses that are contacted for as long as the process runs.
   */
  constructor(
    private readonly self: string,
    private seeds: readonly string[],
  ) {}

  /** Sets whether heartbeats come through relays, which takes longer. */
  setRelayed(isRelayed: boolean): void {
    this.peerTimeoutMs = isRelayed
      ? RELAYED_PEER_TIMEOUT_MS
      : DIRECT_PEER_TIMEOUT_MS;
  }

  /**
   * Records a heartbeat received directly from its host.
   *
   * @return The previous incarnation at the address if it has been replaced,
   *     otherwise undefined.
   */
  recordHeartbeat(heartbeat: PeerHeartbeat, nowMs: number): string | undefined {
    this.lastDirectHeartbeatMs.set(heartbeat.peersAddress, nowMs);
    this.addAddresses(heartbeat.knownAddresses, nowMs);
    return this.storeSighting(heartbeat, nowMs);
  }

  /**
   * Records a heartbeat that a relay passed on.
   *
   * @param heardAtMs When the relay received the heartbeat.
   * @return As for a direct heartbeat; undefined if a newer one is known.
   */
  recordRelayedHeartbeat(
    heartbeat: PeerHeartbeat,
    heardAtMs: number,
  ): string | undefined {
    const known = this.peers.get(heartbeat.peersAddress);
    const isStale = known !== undefined && known.heardAtMs >= heardAtMs;
    if (isStale || heartbeat.peersAddress === this.self) return undefined;
    return this.storeSighting(heartbeat, heardAtMs);
  }

  /**
   * Records that a relay has heard from a host whose heartbeat has not changed.
   *
   * @param heardAtMs When the relay received the heartbeat.
   */
  extendSighting(address: string, heardAtMs: number): void {
    const known = this.peers.get(address);
    if (known === undefined || known.heardAtMs >= heardAtMs) return;
    this.peers.set(address, {beat: known.beat, heardAtMs});
    this.addAddresses([address], heardAtMs);
  }

  /** Records whether a known host reaches upstreams, before its next heartbeat. */
  recordReach(address: string, reach: ReachState): void {
    const known = this.peers.get(address);
    if (known === undefined) return;
    this.peers.set(address, {...known, beat: {...known.beat, reach}});
  }

  /** Addresses to which this host sends heartbeats; drops expired addresses. */
  listTargets(nowMs: number): string[] {
    for (const [address, seenMs] of this.addressSeenMs) {
      if (nowMs - seenMs > ADDRESS_EXPIRY_MS) {
        this.addressSeenMs.delete(address);
        this.peers.delete(address);
        this.lastDirectHeartbeatMs.delete(address);
      }
    }
    return this.excludeSelf([...this.seeds, ...this.addressSeenMs.keys()]);
  }

  /** Seeds, and hosts that send heartbeats directly to this host. */
  listDirectPeers(nowMs: number): string[] {
    const directPeers = [...this.lastDirectHeartbeatMs.keys()].filter(address =>
      this.hearsDirectly(address, nowMs),
    );
    return this.excludeSelf([...this.seeds, ...directPeers]);
  }

  /** Whether the other hosts contact this one for as long as they run. */
  get isSeed(): boolean {
    return this.seeds.includes(this.self);
  }

  /** Addresses that this host always contacts. */
  listSeeds(): string[] {
    return this.excludeSelf(this.seeds);
  }

  /** Replaces the addresses that are always contacted. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  /** Whether a recent heartbeat came directly from the host. */
  hearsDirectly(address: string, nowMs: number): boolean {
    const lastBeatMs = this.lastDirectHeartbeatMs.get(address) ?? -Infinity;
    return nowMs - lastBeatMs < this.peerTimeoutMs;
  }

  /** Hosts with a recent heartbeat, direct or relayed. */
  listAlive(nowMs: number): PeerHeartbeat[] {
    return this.listSightings(nowMs).map(({beat}) => beat);
  }

  /** The same hosts, with the time of the latest heartbeat of each. */
  listSightings(nowMs: number): PeerSighting[] {
    return [...this.peers.values()].filter(
      ({heardAtMs}) => nowMs - heardAtMs < this.peerTimeoutMs,
    );
  }

  private storeSighting(
    heartbeat: PeerHeartbeat,
    heardAtMs: number,
  ): string | undefined {
    const previousIncarnation = this.peers.get(heartbeat.peersAddress)?.beat
      .incarnation;
    this.peers.set(heartbeat.peersAddress, {beat: heartbeat, heardAtMs});
    this.addAddresses([heartbeat.peersAddress], heardAtMs);
    return previousIncarnation === heartbeat.incarnation
      ? undefined
      : previousIncarnation;
  }

  private addAddresses(addresses: readonly string[], nowMs: number): void {
    for (const address of addresses) {
      if (address !== this.self) this.addressSeenMs.set(address, nowMs);
    }
  }

  private excludeSelf(addresses: readonly string[]): string[] {
    return [...new Set(addresses)].filter(address => address !== this.self);
  }
}
