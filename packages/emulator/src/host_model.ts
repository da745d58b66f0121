import {
  expectFirstEvent,
  PaceReason,
  PlacementRegistry,
  UpstreamChooser,
  UpstreamHealth,
  UpstreamPace,
  type PassModel,
  type Placement,
} from '@parsleywood/dispatch';
import {makePolicy} from './make_policy.js';
import type {PlacementPolicy} from './placement_policy.js';
import {PolicyName} from './policy_name.js';

/** One host: the real decision classes, and what it believes. */
export class HostModel {
  readonly registry = new PlacementRegistry();
  readonly policy: PlacementPolicy;
  readonly chooser: UpstreamChooser;
  readonly health = new UpstreamHealth();
  private readonly pace = new UpstreamPace();
  private readonly isPaced: boolean;

  constructor(
    name: string,
    policy: PolicyName,
    private readonly model: PassModel,
  ) {
    this.isPaced = policy === PolicyName.PACED;
    this.chooser = new UpstreamChooser(
      name,
      'domain',
      this.registry,
      this.health,
      this.isPaced ? this.pace : undefined,
    );
    this.policy = makePolicy(policy, this.chooser);
  }

  /** Learns of an engine that has just started. */
  recordListed(upstream: string, nowMs: number): void {
    if (this.isPaced) this.startPace(upstream, nowMs, PaceReason.STARTED);
  }

  /** Takes note of what has passed until a choice. */
  advance(nowMs: number): void {
    if (!this.isPaced) return;
    for (const id of this.health.takeReturned(nowMs)) {
      this.startPace(id, nowMs, PaceReason.RECOVERED);
    }
    this.pace.advance(nowMs);
  }

  add(placement: Placement, nowMs: number): void {
    const {registry, pace, model} = this;
    const ids = placement.parts
      .map(({upstream}) => upstream)
      .filter(id => pace.isOnProbation(id));
    if (ids.length > 0) {
      const expected = expectFirstEvent(placement, registry, model, nowMs);
      pace.recordStart(placement.id, ids, expected, nowMs);
    }
    registry.add(placement, nowMs);
  }

  startDecode(id: string, nowMs: number): void {
    this.registry.startDecode(id, nowMs);
    this.pace.recordFirstEvent(id, nowMs);
  }

  end(id: string, nowMs: number): void {
    this.registry.end(id);
    this.pace.recordEnd(id, false, nowMs);
  }

  recordFailure(upstream: string, nowMs: number): void {
    this.health.recordFailure(upstream, true, nowMs);
    this.pace.recordFailure(upstream);
  }

  /** @param passMs Measured length of a pass that only decodes. */
  recordPass(upstream: string, passMs: number): void {
    const {stepMs, stepsPerPass} = this.model.profile;
    const ratio = passMs / (stepMs * stepsPerPass);
    this.health.recordPassTimeRatio(upstream, ratio);
    this.pace.recordPassTimeRatio(upstream, ratio);
  }

  private startPace(upstream: string, nowMs: number, reason: PaceReason): void {
    this.pace.start(upstream, this.model.profile.slots, nowMs, reason);
  }
}
