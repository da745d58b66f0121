import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import {orderByRendezvous} from '@parsleywood/routing';
import type {EngineForecast} from './engine_forecast.js';
import {forecastEngine} from './forecast_engine.js';
import {PassModel} from './pass_model.js';
import {pickServiceUpstream} from './pick_service_upstream.js';
import type {PlacementBook} from './placement_book.js';
import type {PromptDemand} from './prompt_demand.js';
import {ReadPlanner} from './prefill_planner.js';
import type {Shortage} from './shortage.js';
import type {UpstreamChoice} from './upstream_choice.js';
import type {UpstreamHealth} from './upstream_health.js';

/** Chooses upstreams by what hosts have placed and how upstreams have answered. */
export class UpstreamChooser {
  private positions = new Map<string, number>();
  private readonly models = new WeakMap<Service, PassModel>();

  /**
   * @param host Name of this host: hosts that know nothing of each other yet, as
   *     after a start of all, begin with different engines.
   */
  constructor(
    private readonly host: string,
    private readonly failureDomain: string,
    private readonly book: PlacementBook,
    private readonly health: UpstreamHealth,
  ) {}

  /** Upstreams that may get an attempt; avoided ones only where no other is. */
  candidates(
    usable: readonly UpstreamEntry[],
    tried: ReadonlySet<string>,
    nowMs: number,
  ): UpstreamEntry[] {
    const fresh = usable.filter(({id}) => !tried.has(id));
    const trusted = fresh.filter(({id}) => !this.health.isAvoided(id, nowMs));
    const chosen = trusted.length > 0 ? trusted : fresh;
    return this.order(chosen);
  }

  /** Chooses the upstream of a plain call. */
  chooseService(
    candidates: readonly UpstreamEntry[],
    tieBreak: number,
    nowMs: number,
  ): UpstreamChoice | Shortage {
    const upstream = pickServiceUpstream(
      candidates,
      this.failureDomain,
      id => this.book.work(id, nowMs).records.length,
      tieBreak,
    );
    return upstream ? {upstream, helpers: []} : {waitMs: 0};
  }

  /** Chooses the engines of a prompt, or tells when there is room. */
  chooseEngines(
    candidates: readonly UpstreamEntry[],
    service: Service,
    demand: PromptDemand,
    nowMs: number,
  ): UpstreamChoice | Shortage {
    const model = this.modelOf(service);
    if (model === undefined) return {waitMs: 0};
    const engines = this.forecast(candidates, model, nowMs);
    const plan = new ReadPlanner(model).plan(demand, engines);
    if (!('parts' in plan)) return plan;
    const byId = new Map(candidates.map(entry => [entry.id, entry]));
    const readers = plan.parts.flatMap(part => byId.get(part.upstream) ?? []);
    const [upstream, ...helpers] = readers;
    return upstream ? {upstream, helpers, plan} : {waitMs: 0};
  }

  /** What each engine is expected to be doing. */
  forecast(
    engines: readonly UpstreamEntry[],
    model: PassModel,
    nowMs: number,
  ): EngineForecast[] {
    return engines.map(({id}) =>
      forecastEngine(
        id,
        this.book.work(id, nowMs),
        model,
        this.health.slowness(id),
        nowMs,
      ),
    );
  }

  private modelOf(service: Service): PassModel | undefined {
    if (service.engine === undefined) return undefined;
    const known = this.models.get(service);
    if (known !== undefined) return known;
    const model = new PassModel(service.engine);
    this.models.set(service, model);
    return model;
  }

  /** Orders upstreams by this host's own preference among equals. */
  private order(entries: readonly UpstreamEntry[]): UpstreamEntry[] {
    if (entries.some(({id}) => !this.positions.has(id))) {
      const names = entries.map(({id}) => id);
      const known = [...this.positions.keys()];
      const ordered = orderByRendezvous(this.host, [...known, ...names]);
      this.positions = new Map(ordered.map((name, at) => [name, at]));
    }
    const positionOf = ({id}: UpstreamEntry): number =>
      this.positions.get(id) ?? 0;
    return [...entries].sort(
      (left, right) => positionOf(left) - positionOf(right),
    );
  }
}
