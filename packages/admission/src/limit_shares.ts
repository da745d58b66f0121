import type {LimitMessage} from '@parsleywood/schema/limits';
import type {Incarnation} from '@parsleywood/types';

import type {Demand} from './demand.js';
import type {DemandKind} from './demand_kind.js';
import {LimitPeer} from './limit_peer.js';

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
    const inContact = this.inContact(sharers, nowMs);
    const surely = this.part(account, kind, sharers, inContact);
    const heard = this.heard(sharers, nowMs);
    if (heard.length === inContact.length) return surely;
    return Math.min(surely, this.part(account, kind, sharers, heard));
  }

  /** Whole places of the account's limit that this host may use. */
  places(
    account: string,
    kind: DemandKind,
    limit: number,
    nowMs: number,
  ): number {
    const sharers = this.sharersOf(account);
    const inContact = this.inContact(sharers, nowMs);
    const surely = this.split(account, kind, sharers, inContact);
    const least = this.apportion(limit, surely);
    const heard = this.heard(sharers, nowMs);
    if (heard.length === inContact.length) return least;
    const maybe = this.split(account, kind, sharers, heard);
    return Math.min(least, this.apportion(limit, maybe));
  }

  /** Whether a message with this demand is owed to the peer. */
  isOwed(host: string, demand: ReadonlyMap<string, Demand>, nowMs: number) {
    const peer = this.peers.get(host);
    return demand.size > 0 || peer?.isActive(nowMs) === true;
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
    const contacts = this.inContact(this.peerNames(), nowMs);
    const peer = this.peers.get(host);
    return peer?.announce(this.self.id, demand, contacts, nowMs);
  }

  /** Takes a message; true when its sender should be answered soon. */
  hear(from: string, message: LimitMessage, nowMs: number): boolean {
    return this.peers.get(from)?.hear(message, this.self.id, nowMs) ?? false;
  }

  private inContact(hosts: readonly string[], nowMs: number): string[] {
    return hosts.filter(host => this.peers.get(host)?.isInContact(nowMs));
  }

  /** Hosts that are in contact or may believe that they are. */
  private heard(hosts: readonly string[], nowMs: number): string[] {
    return hosts.filter(host => this.peers.get(host)?.isHeard(nowMs));
  }

  /** This host's part where all but the members hold equal ones. */
  private part(
    account: string,
    kind: DemandKind,
    sharers: readonly string[],
    members: readonly string[],
  ): number {
    const evenPart = 1 / (sharers.length + 1);
    if (members.length === 0) return evenPart;
    let own = Infinity;
    let sum = 0;
    for (const host of members) {
      const peer = this.peers.get(host);
      sum += peer?.heardDemand(account, kind) ?? 0;
      own = Math.min(own, peer?.knownDemand(account, kind) ?? 0);
    }
    const count = members.length + 1;
    const part = partOf(own, sum + own, count, count * evenPart);
    return this.isPassedOver(sharers, members)
      ? Math.min(part, evenPart)
      : part;
  }

  /** Whether a member is in contact with a host that this one does not hear. */
  private isPassedOver(
    sharers: readonly string[],
    members: readonly string[],
  ): boolean {
    if (members.length === sharers.length) return false;
    const others = sharers.filter(host => !members.includes(host));
    return members.some(member =>
      others.some(host => this.peers.get(member)?.isInContactWith(host)),
    );
  }

  /** The parts of this host and of all others. */
  private split(
    account: string,
    kind: DemandKind,
    sharers: readonly string[],
    members: readonly string[],
  ): Split {
    const own = this.part(account, kind, sharers, members);
    const evenPart = 1 / (sharers.length + 1);
    const others = new Map(sharers.map(host => [host, evenPart]));
    const known = members.map(
      host => this.peers.get(host)?.knownDemand(account, kind) ?? 0,
    );
    const heardOf = (host: string) =>
      this.peers.get(host)?.heardDemand(account, kind) ?? 0;
    const sum = members.reduce(
      (total, host) => total + heardOf(host),
      Math.min(...known),
    );
    const count = members.length + 1;
    for (const host of members) {
      others.set(host, partOf(heardOf(host), sum, count, count * evenPart));
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
