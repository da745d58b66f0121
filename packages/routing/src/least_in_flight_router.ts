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

/**
 * Baseline router: selects the upstream with the fewest attempts of this host
 * in flight.
 */
export class LeastInFlightRouter implements Router {
  private upstreams: readonly Upstream[] = [];
  private readonly avoidedUntilMs = new Map<string, number>();
  private readonly attempts = new Map<string, string>();
  private readonly inFlight = new Map<string, number>();

  choose(request: RoutedRequest, nowMs: number): Choice {
    let best: Upstream | undefined;
    let fewest = Infinity;
    for (const upstream of this.upstreams) {
      const count = this.inFlight.get(upstream.name) ?? 0;
      if (count >= fewest || !this.accepts(upstream, request, nowMs)) continue;
      best = upstream;
      fewest = count;
    }
    return best
      ? toBaselineChoice(request, best, ChoiceReason.LEAST_IN_FLIGHT)
      : {kind: ChoiceKind.NONE, reason: ChoiceReason.NO_UPSTREAM};
  }

  observe(event: RouterEvent): void {
    switch (event.kind) {
      case RouterEventKind.UPSTREAMS:
        this.upstreams = event.upstreams;
        break;
      case RouterEventKind.AVOID:
        this.avoidedUntilMs.set(event.upstream, event.untilMs);
        break;
      case RouterEventKind.ATTEMPT_STARTED:
        this.attempts.set(event.attempt, event.upstream);
        this.changeCount(event.upstream, 1);
        break;
      case RouterEventKind.ATTEMPT_ENDED:
        this.endAttempt(event.attempt);
        break;
      default:
    }
  }

  getDemand(): ClassDemand[] {
    return [];
  }

  priority(): number {
    return BASELINE_PRIORITY;
  }

  private endAttempt(attempt: string): void {
    const upstream = this.attempts.get(attempt);
    if (upstream === undefined) return;
    this.attempts.delete(attempt);
    this.changeCount(upstream, -1);
  }

  private changeCount(upstream: string, change: number): void {
    const count = (this.inFlight.get(upstream) ?? 0) + change;
    if (count > 0) this.inFlight.set(upstream, count);
    else this.inFlight.delete(upstream);
  }

  private accepts(
    upstream: Upstream,
    request: RoutedRequest,
    nowMs: number,
  ): boolean {
    return (
      upstream.model === request.model &&
      !upstream.leaving &&
      !request.excludedUpstreams.includes(upstream.name) &&
      nowMs >= (this.avoidedUntilMs.get(upstream.name) ?? -Infinity)
    );
  }
}
