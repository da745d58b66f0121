import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {chooseWatchers} from './choose_watchers.js';
import type {Member} from './member.js';

/** Hosts in each failure domain that watch a key at the service. */
const WATCHERS_PER_FAILURE_DOMAIN = 2;
/** Peers that a host notifies immediately of a new value. */
const UPDATE_FANOUT = 3;
/** Peers of its own failure domain that a watcher notifies of a new value. */
const SAME_DOMAIN_FANOUT = 16;

/**
 * The live hosts of the site as this host knows them, grouped by failure
 * domain.
 */
export class MemberView {
  private sameDomain: Member[] = [];
  private otherDomains: Member[] = [];

  constructor(
    private readonly self: Member,
    private readonly random: RandomGenerator,
  ) {}

  update(members: readonly Member[]): void {
    const others = members.filter(({host}) => host !== this.self.host);
    const domain = this.self.failureDomain;
    this.sameDomain = others.filter(
      ({failureDomain}) => failureDomain === domain,
    );
    this.otherDomains = others.filter(
      ({failureDomain}) => failureDomain !== domain,
    );
  }

  /** Whether this host is one of the watchers of a key. */
  isWatcher(key: string): boolean {
    return chooseWatchers(
      key,
      this.self.failureDomain,
      [...this.sameDomain, this.self],
      WATCHERS_PER_FAILURE_DOMAIN,
    ).includes(this.self.host);
  }

  /** Picks the peers for one round of gossip. */
  pickGossipPeers(): string[] {
    return [
      ...this.sample(this.sameDomain, 1),
      ...this.sample(this.otherDomains, 1),
    ];
  }

  /** Picks the peers to notify of a new value that came from the service. */
  pickPeersForServiceUpdate(): string[] {
    return [
      ...this.sample(this.sameDomain, SAME_DOMAIN_FANOUT),
      ...this.sample(this.otherDomains, UPDATE_FANOUT),
    ];
  }

  /** Picks the peers to notify of a new value that came from a peer. */
  pickPeersForPeerUpdate(): string[] {
    return this.pickPeers(UPDATE_FANOUT);
  }

  /** Picks up to `count` random peers from the whole site. */
  pickPeers(count: number): string[] {
    return this.sample([...this.sameDomain, ...this.otherDomains], count);
  }

  private sample(members: readonly Member[], count: number): string[] {
    const pool = members.map(({host}) => host);
    const size = Math.min(count, pool.length);
    for (let i = 0; i < size; i++) {
      const j = uniformInt(this.random, i, pool.length - 1);
      [pool[i], pool[j]] = [pool[j] as string, pool[i] as string];
    }
    return pool.slice(0, size);
  }
}
