import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import {orderByRendezvous} from '@parsleywood/routing';
import type {CapacityShortage} from './capacity_shortage.js';
import type {EngineForecast} from './engine_forecast.js';
import {forecastEngine} from './forecast_engine.js';
import {PacedPlanner} from './paced_planner.js';
import {PassModel} from './pass_model.js';
import {pickServiceUpstream} from './pick_service_upstream.js';
import type {PlacementRegistry} from './placement_registry.js';
import {PrefillPlanner} from './prefill_planner.js';
import type {PromptDemand} from './prompt_demand.js';
import type {StartView} from './start_view.js';
import type {UpstreamChoice} from './upstream_choice.js';
import type {UpstreamHealth} from './upstream_health.js';
import type {UpstreamPace} from './upstream_pace.js';

/** Chooses upstreams by the placements of all hosts and by upstream health. */
export class UpstreamChooser {
  private known = new Set<string>();
  /** All known upstreams in this host's order of preference. */
  private ordered: readonly string[] = [];
  private readonly models = new WeakMap<Service, PassModel>();

  /**
   * @param host Name of this host. It seeds the order of preference, so that hosts
   *     without placement updates, such as after a fleet restart, choose different
   *     engines.
   * @param pace Absent where upstreams that have just started are not paced.
   * @param view Decides while the load of engines is not known.
   */
  constructor(
    private readonly host: string,
    private readonly failureDomain: string,
    private readonly placements: PlacementRegistry,
    private readonly health: UpstreamHealth,
    private readonly pace?: UpstreamPace,
    private readonly view?: StartView,
  ) {}

  /**
   * Upstreams for the next attempt, in this host's order of preference. Upstreams
   * that are avoided are included only when no other is left.
   *
   * @param tried Ids of upstreams that already had the request.
   */
  listCandidates(
    usable: readonly UpstreamEntry[],
    tried: ReadonlySet<string>,
    nowMs: number,
  ): UpstreamEntry[] {
    const untried = usable.filter(({id}) => !tried.has(id));
    const healthy = untried.filter(({id}) => !this.health.isAvoided(id, nowMs));
    const selected = healthy.length > 0 ? healthy : untried;
    return this.sortByPreference(selected);
  }

  /** Copies the chooser with another state of slow start. */
  withPace(pace: UpstreamPace): UpstreamChooser {
    const {host, failureDomain, placements, health, view} = this;
    const copy = new UpstreamChooser(
      host,
      failureDomain,
      placements,
      health,
      pace,
      view,
    );
    copy.known = new Set(this.known);
    copy.ordered = this.ordered;
    return copy;
  }

  /** Chooses the upstream of a plain call. */
  chooseServiceUpstream(
    candidates: readonly UpstreamEntry[],
    tieBreak: number,
    nowMs: number,
  ): UpstreamChoice | CapacityShortage {
    const open = this.listWithinPace(candidates, nowMs);
    const upstream = pickServiceUpstream(
      open,
      this.failureDomain,
      id => this.countRequests(id, nowMs),
      tieBreak,
    );
    if (upstream !== undefined) return {upstream, helpers: []};
    if (this.pace === undefined || candidates.length === 0) return {waitMs: 0};
    const ids = candidates.map(({id}) => id);
    return {waitMs: this.pace.planReturnMs(ids, nowMs), isPaced: true};
  }

  /**
   * Chooses the engines of a prompt, or estimates when capacity is free.
   *
   * @param forecasts Load of the candidates, if it is known already.
   */
  chooseEngines(
    candidates: readonly UpstreamEntry[],
    service: Service,
    demand: PromptDemand,
    nowMs: number,
    forecasts?: readonly EngineForecast[],
  ): UpstreamChoice | CapacityShortage {
    const model = this.getModel(service);
    if (model === undefined) return {waitMs: 0};
    const {view} = this;
    const {promptTokens} = demand;
    const selected =
      view?.select(candidates, service, promptTokens, nowMs) ?? candidates;
    if (view && selected.length < Math.min(1, candidates.length)) {
      return {waitMs: view.planReturnMs(service, nowMs)};
    }
    const known = new Map(forecasts?.map(one => [one.upstream, one]));
    const engines = forecasts
      ? selected.flatMap(({id}) => known.get(id) ?? [])
      : this.forecastEngines(selected, model, nowMs);
    const plan = this.pace?.isActive
      ? new PacedPlanner(model, this.health, this.pace).plan(
          demand,
          engines,
          nowMs,
        )
      : new PrefillPlanner(model).plan(demand, engines);
    if (!('parts' in plan)) return plan;
    const byId = new Map(candidates.map(entry => [entry.id, entry]));
    const entries = plan.parts.flatMap(part => byId.get(part.upstream) ?? []);
    const [upstream, ...helpers] = entries;
    return upstream ? {upstream, helpers, plan} : {waitMs: 0};
  }

  /** Estimates the load of each engine at the given time. */
  forecastEngines(
    engines: readonly UpstreamEntry[],
    model: PassModel,
    nowMs: number,
  ): EngineForecast[] {
    return engines.map(({id}) => {
      const forecast = forecastEngine(
        id,
        this.placements.getUpstreamPlacements(id, nowMs),
        model,
        this.getSlowdownFactor(id),
        nowMs,
      );
      return this.view?.adjust(forecast, model, nowMs) ?? forecast;
    });
  }

  /** Forgets upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    this.known = new Set([...this.known].filter(id => upstreams.has(id)));
    this.ordered = this.ordered.filter(id => upstreams.has(id));
  }

  /** Number of upstreams whose order of preference is kept. */
  get size(): number {
    return this.known.size;
  }

  /** The larger of the factors: both measure the same slowness. */
  private getSlowdownFactor(id: string): number {
    const measured = this.health.getSlowdownFactor(id);
    return this.pace?.isActive
      ? Math.max(measured, this.pace.getSlowdownFactor(id))
      : measured;
  }

  private listWithinPace(
    candidates: readonly UpstreamEntry[],
    nowMs: number,
  ): readonly UpstreamEntry[] {
    const {pace} = this;
    if (!pace?.isActive) return candidates;
    return candidates.filter(({id}) => {
      if (!pace.isOnProbation(id)) return true;
      const requests = this.countRequests(id, nowMs);
      const held = {requests, tokens: 0, maxTokens: Infinity};
      return pace.mayTake(id, 0, held, nowMs);
    });
  }

  private countRequests(id: string, nowMs: number): number {
    return this.placements.getUpstreamPlacements(id, nowMs).records.length;
  }

  private getModel(service: Service): PassModel | undefined {
    if (service.engine === undefined) return undefined;
    const cached = this.models.get(service);
    if (cached !== undefined) return cached;
    const model = new PassModel(service.engine);
    this.models.set(service, model);
    return model;
  }

  /** Sorts upstreams by rendezvous hashing with the name of this host. */
  private sortByPreference(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    const byId = new Map(entries.map(entry => [entry.id, entry]));
    if (entries.some(({id}) => !this.known.has(id))) {
      for (const id of byId.keys()) this.known.add(id);
      this.ordered = orderByRendezvous(this.host, [...this.known]);
    }
    return this.ordered.flatMap(id => byId.get(id) ?? []);
  }
}
