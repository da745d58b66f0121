import type {Choice} from './choice.js';
import type {ClassDemand} from './class_demand.js';
import type {RoutedRequest} from './routed_request.js';
import type {RouterEvent} from './router_event.js';

/** Chooses the upstream for each attempt of a request. */
export interface Router {
  /**
   * Chooses for one attempt; says nothing of it to later choices until the
   * attempt is observed as started.
   */
  choose(request: RoutedRequest, nowMs: number): Choice;

  /** Takes one event; those of unknown upstreams or attempts are ignored. */
  observe(event: RouterEvent, nowMs: number): void;

  /** Demand of this host, to be told to its peers once a second or so. */
  demand(nowMs: number): ClassDemand[];

  /** Priority of a request at this time, 0 to 9; 0 is served first. */
  priority(request: RoutedRequest, nowMs: number): number;
}
