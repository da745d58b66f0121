import type {LimitMessage} from '@parsleywood/schema/limits';

import type {AnnouncedDemand} from './announced_demand.js';
import type {Demand} from './demand.js';
import {DemandKind} from './demand_kind.js';
import {hasRisen} from './has_risen.js';

/** Announcements that the peer has not seen; past it the oldest are merged. */
const MAX_UNSEEN = 16;
/** A peer that was not heard for this long is taken to hold an equal part. */
const SILENT_AFTER_MS = 3000;
/** Age of what two hosts know of each other while they are in contact. */
const CONTACT_MS = 1500;
const IDLE: Demand = {
  [DemandKind.REQUESTS]: 0,
  [DemandKind.TOKENS]: 0,
  [DemandKind.CONCURRENT]: 0,
};

/** What this host and one peer know of each other's demand. */
export class LimitPeer {
  private incarnation = '';
  private heardSequence = 0;
  private heardAtMs = -Infinity;
  private heard = new Map<string, Demand>();
  private contacts: ReadonlySet<string> = new Set();
  private sentSequence = 0;
  /** From the newest announcement that the peer has seen on. */
  private announced: AnnouncedDemand[] = [];
  private seenAtMs = -Infinity;

  /**
   * Whether the peer was heard lately; without contact it may or may not go by
   * what this host says.
   */
  isHeard(nowMs: number): boolean {
    return nowMs - this.heardAtMs <= SILENT_AFTER_MS;
  }

  /** Whether each of the two has lately heard what the other said lately. */
  isInContact(nowMs: number): boolean {
    return (
      nowMs - this.heardAtMs <= CONTACT_MS &&
      nowMs - this.seenAtMs <= CONTACT_MS
    );
  }

  /** Whether the peer last said that it is in contact with another host. */
  isInContactWith(host: string): boolean {
    return this.contacts.has(host);
  }

  hasAnnounced(account: string): boolean {
    return this.heard.has(account);
  }

  /** Whether either side has lately spoken of an account. */
  isActive(nowMs: number): boolean {
    if (this.heard.size > 0 && this.isHeard(nowMs)) return true;
    return this.announced.some(({demands}) => demands.size > 0);
  }

  /** Demand that the peer last told. */
  heardDemand(account: string, kind: DemandKind): number {
    return this.heard.get(account)?.[kind] ?? 0;
  }

  /** Least demand of this host that the peer may go by. */
  knownDemand(account: string, kind: DemandKind): number {
    if (this.seenAtMs === -Infinity) return 0;
    let least = Infinity;
    for (const {demands} of this.announced) {
      least = Math.min(least, (demands.get(account) ?? IDLE)[kind]);
    }
    return least === Infinity ? 0 : least;
  }

  /** Writes the next message; the peer is told what this host heard of it. */
  announce(
    incarnation: string,
    demands: ReadonlyMap<string, Demand>,
    contacts: readonly string[],
    nowMs: number,
  ): LimitMessage {
    const sequence = ++this.sentSequence;
    this.announced.push({sequence, atMs: nowMs, demands});
    if (this.announced.length > MAX_UNSEEN) this.mergeOldest();
    return {
      incarnation,
      sequence,
      seenIncarnation: this.incarnation,
      seenSequence: this.heardSequence,
      accounts: [...demands].map(([account, demand]) => ({
        account,
        requestsPerSecond: demand[DemandKind.REQUESTS],
        tokensPerSecond: demand[DemandKind.TOKENS],
        concurrent: demand[DemandKind.CONCURRENT],
      })),
      lanes: [],
      contacts: [...contacts],
    };
  }

  /** Takes a message unless it is old; true when the peer should be answered soon. */
  hear(message: LimitMessage, ownIncarnation: string, nowMs: number): boolean {
    if (toStartMs(message.incarnation) < toStartMs(this.incarnation)) {
      return false;
    }
    const restarted = message.incarnation !== this.incarnation;
    if (!restarted && message.sequence <= this.heardSequence) return false;
    if (restarted) this.seenAtMs = -Infinity;
    this.incarnation = message.incarnation;
    this.heardSequence = message.sequence;
    this.heardAtMs = nowMs;
    this.contacts = new Set(message.contacts);
    const before = this.heard;
    this.heard = new Map(
      message.accounts.map(demand => [
        demand.account,
        {
          [DemandKind.REQUESTS]: demand.requestsPerSecond,
          [DemandKind.TOKENS]: demand.tokensPerSecond,
          [DemandKind.CONCURRENT]: demand.concurrent,
        },
      ]),
    );
    if (message.seenIncarnation === ownIncarnation) {
      this.takeSeen(message.seenSequence);
    }
    return [...this.heard].some(([account, demand]) =>
      hasRisen(before.get(account), demand),
    );
  }

  private takeSeen(sequence: number): void {
    const seen = this.announced.find(sent => sent.sequence === sequence);
    if (!seen) return;
    this.seenAtMs = Math.max(this.seenAtMs, seen.atMs);
    this.announced = this.announced.filter(sent => sent.sequence >= sequence);
  }

  /** Keeps the lower demand of the two oldest announcements. */
  private mergeOldest(): void {
    const [first, second] = this.announced;
    if (!first || !second) return;
    const demands = new Map<string, Demand>();
    for (const [account, demand] of second.demands) {
      const before = first.demands.get(account) ?? IDLE;
      demands.set(account, takeLesser(before, demand));
    }
    this.announced.splice(0, 2, {...second, demands});
  }
}

/** Start time in an incarnation's name; 0 where there is none. */
function toStartMs(incarnation: string): number {
  return Number.parseInt(incarnation, 10) || 0;
}

function takeLesser(a: Demand, b: Demand): Demand {
  return {
    [DemandKind.REQUESTS]: Math.min(
      a[DemandKind.REQUESTS],
      b[DemandKind.REQUESTS],
    ),
    [DemandKind.TOKENS]: Math.min(a[DemandKind.TOKENS], b[DemandKind.TOKENS]),
    [DemandKind.CONCURRENT]: Math.min(
      a[DemandKind.CONCURRENT],
      b[DemandKind.CONCURRENT],
    ),
  };
}
