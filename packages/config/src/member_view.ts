import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {chooseWatchers} from './choose_watchers.js';
import type {Member} from './member.js';

/** Watchers of each key in one failure domain. */
const WATCHERS_PER_FAILURE_DOMAIN = 2;
/** Peers told at once of news. */
const FANOUT = 3;
/** Peers of a watcher's failure domain that it tells at once of news. */
const NEAR_FANOUT = 16;

/** The live hosts of the site as one host sees them. */
export class MemberView {
  private near: Member[] = [];
  private far: Member[] = [];

  constructor(
    private readonly self: Member,
    private readonly random: RandomGenerator,
  ) {}

  update(members: readonly Member[]): void {
    const others = members.filter(({host}) => host !== this.self.host);
    const domain = this.self.failureDomain;
    this.near = others.filter(({failureDomain}) => failureDomain === domain);
    this.far = others.filter(({failureDomain}) => failureDomain !== domain);
  }

  /** Whether this host is to watch a key. */
  isWatcher(key: string): boolean {
    return chooseWatchers(
      key,
      this.self.failureDomain,
      [...this.near, this.self],
      WATCHERS_PER_FAILURE_DOMAIN,
    ).includes(this.self.host);
  }

  /** Draws the peers of one round of gossip. */
  drawForGossip(): string[] {
    return [...this.draw(this.near, 1), ...this.draw(this.far, 1)];
  }

  /** Draws the peers told at once of a value that the service brought. */
  drawForServiceNews(): string[] {
    return [
      ...this.draw(this.near, NEAR_FANOUT),
      ...this.draw(this.far, FANOUT),
    ];
  }

  /** Draws the peers told at once of a value that a peer brought. */
  drawForPeerNews(): string[] {
    return this.drawAny(FANOUT);
  }

  /** Draws peers of the whole site. */
  drawAny(count: number): string[] {
    return this.draw([...this.near, ...this.far], count);
  }

  private draw(members: readonly Member[], count: number): string[] {
    const pool = members.map(({host}) => host);
    const size = Math.min(count, pool.length);
    for (let i = 0; i < size; i++) {
      const j = uniformInt(this.random, i, pool.length - 1);
      [pool[i], pool[j]] = [pool[j] as string, pool[i] as string];
    }
    return pool.slice(0, size);
  }
}
