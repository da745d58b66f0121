import type {SiteReplica, UpstreamEntry} from '@parsleywood/forwarding';
import type {Clock} from '../host/clock.js';
import {canConnect} from './can_connect.js';
import type {ReachMonitor} from './reach_monitor.js';

/** Time for which all requests at an upstream share one test of its address. */
const TEST_SHARE_MS = 1_000;

interface AddressTest {
  readonly startedAtMs: number;
  readonly hasFailed: Promise<boolean>;
}

/**
 * Finds out whether upstreams have gone that may still have open connections. Load
 * pattern: servers that lose power while they run long prompts, and whose addresses
 * others get.
 */
export class DepartureCheck {
  private readonly tests = new Map<string, AddressTest>();

  constructor(
    private readonly replica: SiteReplica,
    private readonly reach: ReachMonitor,
    private readonly clock: Clock,
  ) {}

  /** Whether an upstream is listed. */
  isListed({id}: UpstreamEntry): boolean {
    return this.replica.upstreams.find(id) !== undefined;
  }

  /**
   * Whether an upstream that is not listed is gone.
   *
   * @param mayReturn Whether one that takes no connections may be back later.
   */
  async isGone(upstream: UpstreamEntry, mayReturn: boolean): Promise<boolean> {
    const {id, address} = upstream;
    const {upstreams} = this.replica;
    const owner = upstreams.findByAddress(address);
    if (owner !== undefined && owner.id !== id) return true;
    if (mayReturn || upstreams.has(id, this.clock.nowMs())) return false;
    return this.testAddress(upstream);
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
