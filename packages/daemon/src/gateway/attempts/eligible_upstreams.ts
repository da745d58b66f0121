import type {RouteMatch, UpstreamEntry} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';
import {ExclusionReason} from './exclusion_reason.js';

/**
 * The upstreams that one request may use: those of its service in its home regions and
 * outside of evacuated failure domains. Load pattern: a domain that is emptied under full load gets a share
 * of the new placements that falls to none.
 */
export class EligibleUpstreams {
  /** Drawn once for each request, so that a domain that it avoids stays avoided. */
  private evacuationDraw: number | undefined;

  /** @param service Name of the service that the request goes to. */
  constructor(
    private readonly context: Pick<
      GatewayContext,
      'replica' | 'homeRegions' | 'clock' | 'draw'
    >,
    private readonly match: RouteMatch,
    private readonly service: string,
  ) {}

  list(): UpstreamEntry[] {
    const nowMs = this.context.clock.nowMs();
    return this.listAtHome(nowMs).filter(entry => this.mayMoveTo(entry, nowMs));
  }

  /** Why there is none, if upstreams of the service accept requests of others. */
  findExclusion(): ExclusionReason | undefined {
    const nowMs = this.context.clock.nowMs();
    if (this.listUsable(nowMs).length === 0) return undefined;
    const atHome = this.listAtHome(nowMs);
    if (atHome.length === 0) return ExclusionReason.HOME_REGIONS;
    return atHome.some(entry => this.mayMoveTo(entry, nowMs))
      ? undefined
      : ExclusionReason.EVACUATED;
  }

  /** Whether one of the upstreams is not to be sent anything any more. */
  isAnyEvacuated(upstreams: readonly UpstreamEntry[]): boolean {
    const {replica, clock} = this.context;
    const nowMs = clock.nowMs();
    return upstreams.some(
      ({failureDomain}) =>
        replica.evacuations.getShare(failureDomain, nowMs) === 0,
    );
  }

  private listUsable(nowMs: number): UpstreamEntry[] {
    return this.context.replica.upstreams.usable(this.service, nowMs);
  }

  private listAtHome(nowMs: number): UpstreamEntry[] {
    const {homeRegions} = this.context;
    return this.listUsable(nowMs).filter(({failureDomain}) =>
      homeRegions.mayRun(this.match, failureDomain),
    );
  }

  private mayMoveTo({failureDomain}: UpstreamEntry, nowMs: number): boolean {
    const {replica, draw} = this.context;
    const share = replica.evacuations.getShare(failureDomain, nowMs);
    if (share === 1) return true;
    this.evacuationDraw ??= draw();
    return this.evacuationDraw < share;
  }
}
