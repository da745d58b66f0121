import type {
  PlacementRegistry,
  UpstreamHealth,
  UpstreamLimits,
} from '@parsleywood/dispatch';
import type {LeavingUpstreams} from '@parsleywood/forwarding';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import type {PlacementExchange} from './placement_exchange.js';
import type {SuspectTracker} from '../../upstreams/suspect_tracker.js';
import type {UpstreamPacing} from '../upstreams/upstream_pacing.js';

/** Applies updates of other hosts on placements, upstreams and suspects. */
export class UpdateApplier {
  /** @param exchange Tells new hosts of placements; absent where none is told. */
  constructor(
    private readonly placements: PlacementRegistry,
    private readonly health: UpstreamHealth,
    private readonly limits: UpstreamLimits,
    private readonly suspects: SuspectTracker,
    private readonly leaving: LeavingUpstreams,
    private readonly pacing: UpstreamPacing,
    readonly exchange?: PlacementExchange,
  ) {}

  /**
   * Applies an update.
   *
   * @return Whether the message was such an update; other messages are about
   *     the hosts themselves.
   */
  apply(host: string, {body}: FleetMessage, nowMs: number): boolean {
    switch (body?.$case) {
      case 'placementStart': {
        const placement = {...body.value, host};
        this.pacing.recordStart(placement, nowMs);
        this.placements.add(placement, nowMs);
        this.limits.recordPlacement(placement, nowMs);
        return true;
      }
      case 'placementWriting':
        this.placements.startDecode(body.value, nowMs);
        this.pacing.pace.recordFirstEvent(body.value, nowMs);
        return true;
      case 'placementEnd':
        this.placements.end(body.value);
        this.pacing.pace.recordEnd(body.value, false, nowMs);
        return true;
      case 'upstreamFailure': {
        const {upstream, silent} = body.value;
        this.health.recordFailure(upstream, silent, nowMs);
        this.pacing.pace.recordFailure(upstream);
        return true;
      }
      case 'suspect':
        this.suspects.applyUpdate(body.value);
        return true;
      case 'upstreamLimit': {
        const {upstream, perSecond, startedAgoMs} = body.value;
        this.limits.update(
          upstream,
          perSecond > 0 ? perSecond : undefined,
          nowMs - startedAgoMs,
          nowMs,
        );
        return true;
      }
      case 'upstreamLeaving':
        this.leaving.record(body.value.upstream, body.value.bornMs);
        return true;
      case 'traitCrash':
        this.suspects.applyTraitCrash(body.value);
        return true;
      case 'traitAnswer':
        this.suspects.applyTraitAnswer(body.value);
        return true;
      default:
        return false;
    }
  }

  /** Lists limits and leavings of upstreams as messages for a host that is new. */
  listUpstreamNews(nowMs: number): FleetMessage[] {
    const limits = this.limits
      .list()
      .map(({upstream, perSecond, toldAtMs}): FleetMessage => ({
        body: {
          $case: 'upstreamLimit',
          value: {
            upstream,
            perSecond,
            startedAgoMs: Math.round(nowMs - toldAtMs),
          },
        },
      }));
    const leaving = this.leaving.list().map(({id, bornMs}): FleetMessage => ({
      body: {$case: 'upstreamLeaving', value: {upstream: id, bornMs}},
    }));
    return [...limits, ...leaving];
  }

  /** Drops the placements of a host that has restarted. */
  dropHost(host: string): void {
    this.placements.dropHost(host);
  }
}
