import {
  UpstreamPresence,
  type SiteReplica,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import type {Clock} from '../../host/clock.js';
import {canConnect} from './can_connect.js';
import type {ReachMonitor} from './reach_monitor.js';

/** Time for which all requests at an upstream share one test of its address. */
const TEST_SHARE_MS = 1_000;

interface AddressTest {
  readonly startedAtMs: number;
  readonly hasFailed: Promise<boolean>;
}

/** Tests whether upstreams have gone that may still have open connections. */
export class DepartureCheck {
  private readonly tests = new Map<string, AddressTest>();

  constructor(
    private readonly replica: SiteReplica,
    private readonly reach: ReachMonitor,
    private readonly clock: Clock,
  ) {}

  isListed(upstream: UpstreamEntry): boolean {
    return this.findPresence(upstream) === UpstreamPresence.LISTED;
  }

  /** @param mayReturn Whether one that takes no connections may be back later. */
  async isGone(upstream: UpstreamEntry, mayReturn: boolean): Promise<boolean> {
    switch (this.findPresence(upstream)) {
      case UpstreamPresence.REPLACED:
        return true;
      case UpstreamPresence.UNLISTED:
        return !mayReturn && (await this.testAddress(upstream));
      default:
        return false;
    }
  }

  private findPresence(upstream: UpstreamEntry): UpstreamPresence {
    const {replica, clock} = this;
    return replica.upstreams.findPresence(upstream, clock.nowMs());
  }

  private testAddress({id, address}: UpstreamEntry): Promise<boolean> {
    const nowMs = this.clock.nowMs();
    for (const [other, {startedAtMs}] of this.tests) {
      if (nowMs - startedAtMs >= TEST_SHARE_MS) this.tests.delete(other);
    }
    const known = this.tests.get(id);
    if (known !== undefined) return known.hasFailed;
    const hasFailed = this.isUnreachable(address);
    this.tests.set(id, {startedAtMs: nowMs, hasFailed});
    return hasFailed;
  }

  /** Whether an address takes no connections, while others do. */
  private async isUnreachable(address: string): Promise<boolean> {
    return !(await canConnect(address)) && (await this.reach.testReach());
  }
}
