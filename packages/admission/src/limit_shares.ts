import type {LimitMessage} from '@parsleywood/schema/limits';
import type {Incarnation} from '@parsleywood/types';

import type {Demand} from './demand.js';
import type {DemandKind} from './demand_kind.js';
import {LimitPeer} from './limit_peer.js';

/** A peer out of contact for this long is taken to hold an equal part. */
const SILENT_AFTER_MS = 3000;
/** From here on this host keeps to what it may use in either case. */
const DOUBT_AFTER_MS = 1500;
/** Part of a limit that is split evenly, so that new demand finds some. */
const EVEN_PART = 0.05;

interface Split {
  /** Part of this host. */
  readonly own: number;
  /** Parts of the other hosts by name. */
  readonly others: ReadonlyMap<string, number>;
}

/** Splits the limits of accounts among the hosts that share them, by demand. */
export class LimitShares {
  private readonly peers = new Map<string, LimitPeer>();

  /**
   * @param self This host.
   * @param hostsOf Live hosts that callers of an account are sent to.
   */
  constructor(
    private readonly self: Incarnation,
    private readonly hostsOf:
      ((account: string) => readonly string[]) | undefined,
  ) {}

  /** Takes the names of the other live hosts. */
  setPeers(hosts: readonly string[]): void {
    const live = new Set(hosts);
    live.delete(this.self.host);
    for (const host of this.peers.keys()) {
      if (!live.has(host)) this.peers.delete(host);
    }
    for (const host of live) {
      if (!this.peers.has(host)) this.peers.set(host, new LimitPeer());
    }
  }

  /** Names of the other hosts that share the account. */
  sharersOf(account: string): string[] {
    if (!this.hostsOf) return [...this.peers.keys()];
    const named = new Set(this.hostsOf(account));
    return [...this.peers]
      .filter(([host, peer]) => named.has(host) || peer.hasAnnounced(account))
      .map(([host]) => host);
  }

  /** Part of the account's limit that this host may use, above 0 up to 1. */
  share(account: string, kind: DemandKind, nowMs: number): number {
    const sharers = this.sharersOf(account);
    const surely = this.part(account, kind, sharers, DOUBT_AFTER_MS, nowMs);
    if (!this.hasDoubt(sharers, nowMs)) return surely;
    const maybe = this.part(account, kind, sharers, SILENT_AFTER_MS, nowMs);
    return Math.min(surely, maybe);
  }

  /** Whole places of the account's limit that this host may use. */
  places(
    account: string,
    kind: DemandKind,
    limit: number,
    nowMs: number,
  ): number {
    const sharers = this.sharersOf(account);
    const surely = this.split(account, kind, sharers, DOUBT_AFTER_MS, nowMs);
    const least = this.apportion(limit, surely);
    if (!this.hasDoubt(sharers, nowMs)) return least;
    const maybe = this.split(account, kind, sharers, SILENT_AFTER_MS, nowMs);
    return Math.min(least, this.apportion(limit, maybe));
  }

  /** Whether a message with this demand is owed to the peer. */
  isOwed(host: string, demand: ReadonlyMap<string, Demand>, nowMs: number) {
    const peer = this.peers.get(host);
    return demand.size > 0 || peer?.isActive(nowMs, SILENT_AFTER_MS) === true;
  }

  /** Names of the other live hosts. */
  peerNames(): string[] {
    return [...this.peers.keys()];
  }

  announce(
    host: string,
    demand: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): LimitMessage | undefined {
    return this.peers.get(host)?.announce(this.self.id, demand, nowMs);
  }

  /** Takes a message; true when its sender should be answered soon. */
  hear(from: string, message: LimitMessage, nowMs: number): boolean {
    return this.peers.get(from)?.hear(message, this.self.id, nowMs) ?? false;
  }

  /** Whether a peer was heard of so long ago that it may count as silent. */
  private hasDoubt(sharers: readonly string[], nowMs: number): boolean {
    return sharers.some(host => {
      const peer = this.peers.get(host);
      return (
        peer?.isInContact(SILENT_AFTER_MS, nowMs) === true &&
        !peer.isInContact(DOUBT_AFTER_MS, nowMs)
      );
    });
  }

  /** This host's part where peers out of contact hold equal ones. */
  private part(
    account: string,
    kind: DemandKind,
    sharers: readonly string[],
    withinMs: number,
    nowMs: number,
  ): number {
    let members = 1;
    let own = Infinity;
    let sum = 0;
    for (const host of sharers) {
      const peer = this.peers.get(host);
      if (!peer?.isInContact(withinMs, nowMs)) continue;
      members++;
      sum += peer.heardDemand(account, kind);
      own = Math.min(own, peer.knownDemand(account, kind));
    }
    const pool = members / (sharers.length + 1);
    return own === Infinity ? pool : partOf(own, sum + own, members, pool);
  }

  /** The parts of this host and of all others. */
  private split(
    account: string,
    kind: DemandKind,
    sharers: readonly string[],
    withinMs: number,
    nowMs: number,
  ): Split {
    const own = this.part(account, kind, sharers, withinMs, nowMs);
    const inContact = sharers.filter(host =>
      this.peers.get(host)?.isInContact(withinMs, nowMs),
    );
    const members = inContact.length + 1;
    const evenPart = 1 / (sharers.length + 1);
    const others = new Map(sharers.map(host => [host, evenPart]));
    const known = Math.min(
      ...inContact.map(
        host => this.peers.get(host)?.knownDemand(account, kind) ?? 0,
      ),
    );
    const heardOf = (host: string) =>
      this.peers.get(host)?.heardDemand(account, kind) ?? 0;
    const sum = inContact.reduce((total, host) => total + heardOf(host), known);
    for (const host of inContact) {
      const pool = members * evenPart;
      others.set(host, partOf(heardOf(host), sum, members, pool));
    }
    return {own, others};
  }

  private apportion(limit: number, split: Split): number {
    const parts = new Map(split.others);
    parts.set(this.self.host, split.own);
    const exact = [...parts].map(([host, part]) => ({
      host,
      places: Math.floor(limit * part),
      rest: (limit * part) % 1,
    }));
    const given = exact.reduce((sum, {places}) => sum + places, 0);
    exact.sort((a, b) => b.rest - a.rest || (a.host < b.host ? -1 : 1));
    const rank = exact.findIndex(({host}) => host === this.self.host);
    const own = exact[rank]?.places ?? 0;
    return own + (rank < Math.round(limit - given) ? 1 : 0);
  }
}

/** Part of one host by its demand, with a little for each. */
function partOf(
  demand: number,
  sum: number,
  members: number,
  pool: number,
): number {
  if (sum <= 0) return pool / members;
  return pool * (EVEN_PART / members + (1 - EVEN_PART) * (demand / sum));
}
