import type {UpstreamHealth} from '@parsleywood/dispatch';
import type {SiteReplica} from '@parsleywood/forwarding';
import type {Clock} from '../../host/clock.js';
import {canConnect} from './can_connect.js';

/** Interval between connection checks. */
const CHECK_INTERVAL_MS = 400;

/**
 * Checks unreachable upstreams until they accept connections again. Each failed
 * check extends the time for which an upstream is avoided.
 */
export class UpstreamProber {
  private timer: NodeJS.Timeout | undefined;

  /** @param isCutOff Whether this host reaches no upstream at all. */
  constructor(
    private readonly health: UpstreamHealth,
    private readonly replica: SiteReplica,
    private readonly clock: Clock,
    private readonly isCutOff: () => boolean,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      // The host's own paths are tested instead.
      if (this.isCutOff()) return;
      for (const id of this.health.listUnreachable()) void this.check(id);
    }, CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async check(id: string): Promise<void> {
    const entry = this.replica.upstreams.find(id);
    if (entry === undefined) return;
    if (await canConnect(entry.address)) this.health.recordReachable(id);
    else this.health.recordFailure(id, true, this.clock.nowMs());
  }
}
