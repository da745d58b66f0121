import type {LimitMessage} from '@parsleywood/schema/limits';

import type {AnnouncedDemand} from './announced_demand.js';
import type {Demand} from './demand.js';
import {DemandKind} from './demand_kind.js';
import {hasRisen} from './has_risen.js';

/** Announcements that the peer has not seen; past it the oldest are merged. */
const MAX_UNSEEN = 16;
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
  private sentSequence = 0;
  /** From the newest announcement that the peer has seen on. */
  private announced: AnnouncedDemand[] = [];
  private seenAtMs = -Infinity;

  /** Whether each of the two has lately heard what the other said lately. */
  isInContact(withinMs: number, nowMs: number): boolean {
    return (
      nowMs - this.heardAtMs <= withinMs && nowMs - this.seenAtMs <= withinMs
    );
  }

  hasAnnounced(account: string): boolean {
    return this.heard.has(account);
  }

  /** Whether either side has lately spoken of an account. */
  isActive(nowMs: number, withinMs: number): boolean {
    if (this.heard.size > 0 && nowMs - this.heardAtMs <= withinMs) return true;
    return this.announced.some(({demands}) => demands.size > 0);
  }

  /** Demand that the peer last told. */
  heardDemand(account: string, kind: DemandKind): number {
    return this.heard.get(account)?.[kind] ?? 0;
  }

  /** Least demand of this host that the peer may go by. */
  knownDemand(account: string, kind: DemandKind): number {
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
