import type {LimitMessage} from '@parsleywood/schema/limits';

import type {AnnouncedDemand} from './announced_demand.js';
import type {Demand} from './demand.js';
import {DemandKind} from './demand_kind.js';
import {hasRisen} from './has_risen.js';

/**
 * Maximum number of announcements kept without an acknowledgement. Beyond it, the
 * two oldest are merged.
 */
const MAX_UNACKNOWLEDGED = 16;
/** A peer that sent no message for this long is assumed to use an equal share. */
const PEER_TIMEOUT_MS = 3000;
/** Maximum age of what two hosts know of each other while they are in contact. */
const CONTACT_TIMEOUT_MS = 1500;
const NO_DEMAND: Demand = {
  [DemandKind.REQUESTS]: 0,
  [DemandKind.TOKENS]: 0,
  [DemandKind.CONCURRENT]: 0,
};

/** Demand exchanged with one peer: the last received and the announced. */
export class LimitPeer {
  private incarnation = '';
  private receivedSequence = 0;
  private receivedAtMs = -Infinity;
  private receivedDemand = new Map<string, Demand>();
  private contacts: ReadonlySet<string> = new Set();
  private sentSequence = 0;
  /** The last acknowledged announcement and all later ones, oldest first. */
  private announced: AnnouncedDemand[] = [];
  /** Time at which the last acknowledged announcement was sent. */
  private acknowledgedSentAtMs = -Infinity;

  /**
   * Whether a message from the peer arrived within the peer time-out. Without
   * contact, it is unknown whether the peer uses the demand announced by this
   * host.
   */
  isReachable(nowMs: number): boolean {
    return nowMs - this.receivedAtMs <= PEER_TIMEOUT_MS;
  }

  /**
   * Whether both directions work: a recent message from the peer arrived, and the
   * peer acknowledged a recent announcement of this host.
   */
  isInContact(nowMs: number): boolean {
    return (
      nowMs - this.receivedAtMs <= CONTACT_TIMEOUT_MS &&
      nowMs - this.acknowledgedSentAtMs <= CONTACT_TIMEOUT_MS
    );
  }

  /** Whether the peer's last message listed the host as one in contact. */
  isInContactWith(host: string): boolean {
    return this.contacts.has(host);
  }

  hasAnnounced(account: string): boolean {
    return this.receivedDemand.has(account);
  }

  /** Whether either side has recently announced demand of any account. */
  isActive(nowMs: number): boolean {
    if (this.receivedDemand.size > 0 && this.isReachable(nowMs)) return true;
    return this.announced.some(({demands}) => demands.size > 0);
  }

  /** Demand in the last message of the peer; 0 for an account it did not list. */
  getReceivedDemand(account: string, kind: DemandKind): number {
    return this.receivedDemand.get(account)?.[kind] ?? 0;
  }

  /**
   * Lowest demand of this host that the peer may currently use, over all
   * announcements since the last acknowledged one.
   */
  getMinAnnouncedDemand(account: string, kind: DemandKind): number {
    if (this.acknowledgedSentAtMs === -Infinity) return 0;
    let least = Infinity;
    for (const {demands} of this.announced) {
      least = Math.min(least, (demands.get(account) ?? NO_DEMAND)[kind]);
    }
    return least === Infinity ? 0 : least;
  }

  /**
   * Creates the next message. It acknowledges the last message received from the
   * peer.
   */
  createMessage(
    incarnation: string,
    demands: ReadonlyMap<string, Demand>,
    contacts: readonly string[],
    nowMs: number,
  ): LimitMessage {
    const sequence = ++this.sentSequence;
    this.announced.push({sequence, atMs: nowMs, demands});
    if (this.announced.length > MAX_UNACKNOWLEDGED) this.mergeOldest();
    return {
      incarnation,
      sequence,
      seenIncarnation: this.incarnation,
      seenSequence: this.receivedSequence,
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

  /**
   * Applies a message unless it is outdated. Returns whether demand rose so much
   * that this host should reply before its next regular message.
   */
  receive(
    message: LimitMessage,
    ownIncarnation: string,
    nowMs: number,
  ): boolean {
    if (parseStartMs(message.incarnation) < parseStartMs(this.incarnation)) {
      return false;
    }
    const restarted = message.incarnation !== this.incarnation;
    if (!restarted && message.sequence <= this.receivedSequence) return false;
    if (restarted) this.acknowledgedSentAtMs = -Infinity;
    this.incarnation = message.incarnation;
    this.receivedSequence = message.sequence;
    this.receivedAtMs = nowMs;
    this.contacts = new Set(message.contacts);
    const before = this.receivedDemand;
    this.receivedDemand = new Map(
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
      this.acknowledge(message.seenSequence);
    }
    return [...this.receivedDemand].some(([account, demand]) =>
      hasRisen(before.get(account), demand),
    );
  }

  private acknowledge(sequence: number): void {
    const acknowledged = this.announced.find(
      sent => sent.sequence === sequence,
    );
    if (!acknowledged) return;
    this.acknowledgedSentAtMs = Math.max(
      this.acknowledgedSentAtMs,
      acknowledged.atMs,
    );
    this.announced = this.announced.filter(sent => sent.sequence >= sequence);
  }

  /** Merges the two oldest announcements into one with the lower of their demands. */
  private mergeOldest(): void {
    const [first, second] = this.announced;
    if (!first || !second) return;
    const demands = new Map<string, Demand>();
    for (const [account, demand] of second.demands) {
      const before = first.demands.get(account) ?? NO_DEMAND;
      demands.set(account, toMinDemand(before, demand));
    }
    this.announced.splice(0, 2, {...second, demands});
  }
}

/** Start time in milliseconds from an incarnation id; 0 when it has none. */
function parseStartMs(incarnation: string): number {
  return Number.parseInt(incarnation, 10) || 0;
}

function toMinDemand(a: Demand, b: Demand): Demand {
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
