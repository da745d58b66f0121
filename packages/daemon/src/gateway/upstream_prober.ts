import type {UpstreamHealth} from '@parsleywood/dispatch';
import type {SiteLedger} from '@parsleywood/forwarding';
import type {Clock} from '../host/clock.js';
import {canConnect} from './can_connect.js';

/** Interval of the checks. */
const CHECK_MS = 400;

/** Keeps upstreams avoided for as long as they take no connections. */
export class UpstreamWatch {
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly health: UpstreamHealth,
    private readonly ledger: SiteLedger,
    private readonly clock: Clock,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      for (const id of this.health.unreached()) void this.check(id);
    }, CHECK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async check(id: string): Promise<void> {
    const entry = this.ledger.upstreams.find(id);
    if (entry === undefined) return;
    if (await canConnect(entry.address)) this.health.takeReached(id);
    else this.health.takeFailure(id, true, this.clock.nowMs());
  }
}
