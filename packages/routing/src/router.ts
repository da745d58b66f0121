import type {Choice} from './choice.js';
import type {ClassDemand} from './class_demand.js';
import type {RoutedRequest} from './routed_request.js';
import type {RouterEvent} from './router_event.js';

/** Selects an upstream for each attempt of a request. */
export interface Router {
  /**
   * Selects an upstream for one attempt. Later choices take the attempt into
   * account only after its `ATTEMPT_STARTED` event.
   */
  choose(request: RoutedRequest, nowMs: number): Choice;

  /** Updates the state. Events of unknown upstreams or attempts are ignored. */
  observe(event: RouterEvent, nowMs: number): void;

  /**
   * Demand at this host, for the caller to send to its peers about once a
   * second.
   */
  getDemand(nowMs: number): ClassDemand[];

  /** Current priority of a request, 0 (served first) to 9. */
  priority(request: RoutedRequest, nowMs: number): number;
}
