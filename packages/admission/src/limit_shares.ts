import type {LimitMessage} from '@parsleywood/schema/limits';
import type {Incarnation} from '@parsleywood/types';

import type {Demand} from './demand.js';
import type {DemandKind} from './demand_kind.js';
import {LimitPeer} from './limit_peer.js';

/**
 * Fraction of a limit that is split evenly regardless of demand, so that a host
 * with new demand can serve some of it at once.
 */
const EVEN_SHARE = 0.05;

interface Split {
  /** Fraction of this host. */
  readonly own: number;
  /** Fractions of the other hosts, by name. */
  readonly others: ReadonlyMap<string, number>;
}

/**
 * Splits the limits of client accounts among the hosts that share them, in
 * proportion to demand.
 */
export class LimitShares {
  private readonly peers = new Map<string, LimitPeer>();

  /**
   * @param self This host.
   * @param listHosts Returns the live hosts that callers of an account are directed
   *   to; all peers share each account when absent.
   */
  constructor(
    private readonly self: Incarnation,
    private readonly listHosts:
      ((account: string) => readonly string[]) | undefined,
  ) {}

  /** Replaces the list of the other live hosts. */
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

  /** Lists the other hosts that share the account. */
  listSharingHosts(account: string): string[] {
    if (!this.listHosts) return [...this.peers.keys()];
    const mapped = new Set(this.listHosts(account));
    return [...this.peers]
      .filter(([host, peer]) => mapped.has(host) || peer.hasAnnounced(account))
      .map(([host]) => host);
  }

  /** Fraction of the account's limit that this host may use, above 0 and up to 1. */
  getFraction(account: string, kind: DemandKind, nowMs: number): number {
    const sharingHosts = this.listSharingHosts(account);
    const inContact = this.filterInContact(sharingHosts, nowMs);
    const inContactFraction = this.computeFraction(
      account,
      kind,
      sharingHosts,
      inContact,
    );
    const reachable = this.filterReachable(sharingHosts, nowMs);
    if (reachable.length === inContact.length) return inContactFraction;
    return Math.min(
      inContactFraction,
      this.computeFraction(account, kind, sharingHosts, reachable),
    );
  }

  /** Number of the account's concurrency slots that this host may use. */
  getSlots(
    account: string,
    kind: DemandKind,
    limit: number,
    nowMs: number,
  ): number {
    const sharingHosts = this.listSharingHosts(account);
    const inContact = this.filterInContact(sharingHosts, nowMs);
    const inContactSplit = this.computeSplit(
      account,
      kind,
      sharingHosts,
      inContact,
    );
    const inContactSlots = this.allocateSlots(limit, inContactSplit);
    const reachable = this.filterReachable(sharingHosts, nowMs);
    if (reachable.length === inContact.length) return inContactSlots;
    const reachableSplit = this.computeSplit(
      account,
      kind,
      sharingHosts,
      reachable,
    );
    return Math.min(inContactSlots, this.allocateSlots(limit, reachableSplit));
  }

  /** Whether the peer needs a message with this demand. */
  isDue(host: string, demand: ReadonlyMap<string, Demand>, nowMs: number) {
    const peer = this.peers.get(host);
    return demand.size > 0 || peer?.isActive(nowMs) === true;
  }

  /** Lists the other live hosts. */
  listPeers(): string[] {
    return [...this.peers.keys()];
  }

  createMessage(
    host: string,
    demand: ReadonlyMap<string, Demand>,
    nowMs: number,
  ): LimitMessage | undefined {
    const contacts = this.filterInContact(this.listPeers(), nowMs);
    const peer = this.peers.get(host);
    return peer?.createMessage(this.self.id, demand, contacts, nowMs);
  }

  /** Applies a message; returns whether to reply before the next regular message. */
  receive(from: string, message: LimitMessage, nowMs: number): boolean {
    return this.peers.get(from)?.receive(message, this.self.id, nowMs) ?? false;
  }

  private filterInContact(hosts: readonly string[], nowMs: number): string[] {
    return hosts.filter(host => this.peers.get(host)?.isInContact(nowMs));
  }

  /** Hosts that are in contact or may consider themselves in contact. */
  private filterReachable(hosts: readonly string[], nowMs: number): string[] {
    return hosts.filter(host => this.peers.get(host)?.isReachable(nowMs));
  }

  /**
   * Fraction of this host when the members split by demand and every other host
   * uses an equal share.
   */
  private computeFraction(
    account: string,
    kind: DemandKind,
    sharingHosts: readonly string[],
    members: readonly string[],
  ): number {
    const evenFraction = 1 / (sharingHosts.length + 1);
    if (members.length === 0) return evenFraction;
    let own = Infinity;
    let sum = 0;
    for (const host of members) {
      const peer = this.peers.get(host);
      sum += peer?.getReceivedDemand(account, kind) ?? 0;
      own = Math.min(own, peer?.getMinAnnouncedDemand(account, kind) ?? 0);
    }
    const count = members.length + 1;
    const fraction = toFraction(own, sum + own, count, count * evenFraction);
    return this.hasMemberInContactWithOthers(sharingHosts, members)
      ? Math.min(fraction, evenFraction)
      : fraction;
  }

  /** Whether a member is in contact with a sharing host that is not a member. */
  private hasMemberInContactWithOthers(
    sharingHosts: readonly string[],
    members: readonly string[],
  ): boolean {
    if (members.length === sharingHosts.length) return false;
    const others = sharingHosts.filter(host => !members.includes(host));
    return members.some(member =>
      others.some(host => this.peers.get(member)?.isInContactWith(host)),
    );
  }

  /** Computes the fractions of this host and of all others. */
  private computeSplit(
    account: string,
    kind: DemandKind,
    sharingHosts: readonly string[],
    members: readonly string[],
  ): Split {
    const own = this.computeFraction(account, kind, sharingHosts, members);
    const evenFraction = 1 / (sharingHosts.length + 1);
    const others = new Map(sharingHosts.map(host => [host, evenFraction]));
    const announced = members.map(
      host => this.peers.get(host)?.getMinAnnouncedDemand(account, kind) ?? 0,
    );
    const getReceived = (host: string) =>
      this.peers.get(host)?.getReceivedDemand(account, kind) ?? 0;
    const sum = members.reduce(
      (total, host) => total + getReceived(host),
      Math.min(...announced),
    );
    const count = members.length + 1;
    for (const host of members) {
      others.set(
        host,
        toFraction(getReceived(host), sum, count, count * evenFraction),
      );
    }
    return {own, others};
  }

  /** Rounds the fractions to whole slots by the largest remainder method. */
  private allocateSlots(limit: number, split: Split): number {
    const fractions = new Map(split.others);
    fractions.set(this.self.host, split.own);
    const allocations = [...fractions].map(([host, fraction]) => ({
      host,
      slots: Math.floor(limit * fraction),
      remainder: (limit * fraction) % 1,
    }));
    const allocated = allocations.reduce((sum, {slots}) => sum + slots, 0);
    allocations.sort(
      (a, b) => b.remainder - a.remainder || (a.host < b.host ? -1 : 1),
    );
    const rank = allocations.findIndex(({host}) => host === this.self.host);
    const own = allocations[rank]?.slots ?? 0;
    return own + (rank < Math.round(limit - allocated) ? 1 : 0);
  }
}

/** Fraction of `total` for one host by its demand, with a small even minimum. */
function toFraction(
  demand: number,
  sum: number,
  members: number,
  total: number,
): number {
  if (sum <= 0) return total / members;
  return total * (EVEN_SHARE / members + (1 - EVEN_SHARE) * (demand / sum));
}
