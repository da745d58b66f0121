import {
  expectFirstEvent,
  PaceReason,
  PassModel,
  UpstreamPace,
  UpstreamStarts,
  type Placement,
} from '@parsleywood/dispatch';
import {
  UpstreamStage,
  type Service,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {EventLog} from '../../host/event_log.js';
import type {GatewayContext} from '../gateway_context.js';

/**
 * Tells `UpstreamPace` what this host learns of upstreams that start or recover, and
 * logs what follows from it.
 */
export class UpstreamPacing {
  readonly pace = new UpstreamPace();
  private readonly starts = new UpstreamStarts();

  private readonly pacesAll: boolean;

  constructor(
    private readonly view: Pick<
      GatewayContext,
      'placements' | 'health' | 'replica'
    > & {readonly log: Pick<EventLog, 'info'>},
    {pacesNewUpstreams = false}: Pick<GatewaySettings, 'pacesNewUpstreams'>,
  ) {
    this.pacesAll = pacesNewUpstreams;
  }

  /** Compares the published upstreams with those known before. */
  applySite(entries: readonly UpstreamEntry[], nowMs: number): void {
    // Without the configuration, it is not known which services have a cold start.
    if (this.view.replica.rules === undefined) return;
    const starts = this.starts.observe(
      entries,
      entry => this.findService(entry)?.coldStart?.durationMs ?? 0,
      nowMs,
    );
    this.pace.retain(new Set(entries.map(({id}) => id)));
    for (const {entry, reason, coldUntilMs} of starts) {
      if (!this.isPaced(entry)) continue;
      const {id, slots} = entry;
      if (reason !== undefined) this.pace.start(id, slots, nowMs, reason);
      if (coldUntilMs > nowMs) {
        this.pace.planStart(id, slots, coldUntilMs, PaceReason.WARMED);
      }
    }
    this.advance(nowMs);
  }

  /** Begins and ends probations that are due. To be called before each choice. */
  advance(nowMs: number): void {
    const {pace} = this;
    const {health, log} = this.view;
    this.advanceTo(pace, health.takeReturned(nowMs), nowMs);
    for (const {hasEnded, slowdownFactor, ...change} of pace.takeChanges()) {
      log.info(hasEnded ? 'upstream_pace_ended' : 'upstream_paced', {
        ...change,
        slowdownFactor: Math.round(slowdownFactor * 100) / 100,
        lastedMs: Math.round(change.lastedMs),
      });
    }
  }

  /** Returns a copy of the pace as `advance` would leave it. */
  preview(nowMs: number): UpstreamPace {
    const copy = this.pace.copy();
    this.advanceTo(copy, this.view.health.listReturned(nowMs), nowMs);
    return copy;
  }

  /** Records a placement of any host; to be called before it is registered. */
  recordStart(placement: Placement, nowMs: number): void {
    const {pace} = this;
    const {placements, replica} = this.view;
    if (pace.size === 0) return;
    const upstreams = placement.parts
      .map(({upstream}) => upstream)
      .filter(id => pace.isOnProbation(id));
    if (upstreams.length === 0) return;
    const entry = replica.upstreams.find(placement.upstream);
    const engine = entry && this.findService(entry)?.engine;
    const model = engine && new PassModel(engine);
    const expected = expectFirstEvent(placement, placements, model, nowMs);
    pace.recordStart(placement.id, upstreams, expected, nowMs);
  }

  /** @param returned Ids of upstreams that are no longer avoided. */
  private advanceTo(
    pace: UpstreamPace,
    returned: readonly string[],
    nowMs: number,
  ): void {
    for (const id of returned) {
      const entry = this.view.replica.upstreams.find(id);
      if (entry === undefined || !this.isPaced(entry)) continue;
      pace.start(id, entry.slots, nowMs, PaceReason.RECOVERED);
    }
    pace.advance(nowMs);
  }

  private isPaced(entry: UpstreamEntry): boolean {
    return this.pacesAll && entry.stage === UpstreamStage.READY;
  }

  private findService({service}: UpstreamEntry): Service | undefined {
    return this.view.replica.rules?.findService(service);
  }
}
