import {BASELINE_PRIORITY} from './baseline_priority.js';
import type {Choice} from './choice.js';
import {ChoiceKind} from './choice_kind.js';
import {ChoiceReason} from './choice_reason.js';
import type {ClassDemand} from './class_demand.js';
import type {RoutedRequest} from './routed_request.js';
import type {Router} from './router.js';
import type {RouterEvent} from './router_event.js';
import {RouterEventKind} from './router_event_kind.js';
import {toBaselineChoice} from './to_baseline_choice.js';
import type {Upstream} from './upstream.js';

/** Baseline router: selects the upstreams of a model in round-robin order. */
export class RoundRobinRouter implements Router {
  private readonly upstreams = new Map<string, Upstream[]>();
  private readonly avoidedUntilMs = new Map<string, number>();
  private nextIndex = 0;

  choose(request: RoutedRequest, nowMs: number): Choice {
    const upstreams = this.upstreams.get(request.model) ?? [];
    const first = this.nextIndex % Math.max(1, upstreams.length);
    const inTurn = [...upstreams.slice(first), ...upstreams.slice(0, first)];
    const index = inTurn.findIndex(upstream =>
      this.accepts(upstream, request, nowMs),
    );
    const upstream = inTurn[index];
    if (upstream) {
      this.nextIndex = first + index + 1;
      return toBaselineChoice(request, upstream, ChoiceReason.ROUND_ROBIN);
    }
    return {kind: ChoiceKind.NONE, reason: ChoiceReason.NO_UPSTREAM};
  }

  observe(event: RouterEvent): void {
    if (event.kind === RouterEventKind.AVOID) {
      this.avoidedUntilMs.set(event.upstream, event.untilMs);
    }
    if (event.kind !== RouterEventKind.UPSTREAMS) return;
    this.upstreams.clear();
    for (const upstream of event.upstreams) {
      const upstreamsOfModel = this.upstreams.get(upstream.model) ?? [];
      upstreamsOfModel.push(upstream);
      this.upstreams.set(upstream.model, upstreamsOfModel);
    }
  }

  getDemand(): ClassDemand[] {
    return [];
  }

  priority(): number {
    return BASELINE_PRIORITY;
  }

  private accepts(
    upstream: Upstream,
    request: RoutedRequest,
    nowMs: number,
  ): boolean {
    return (
      !upstream.leaving &&
      !request.excludedUpstreams.includes(upstream.name) &&
      nowMs >= (this.avoidedUntilMs.get(upstream.name) ?? -Infinity)
    );
  }
}
