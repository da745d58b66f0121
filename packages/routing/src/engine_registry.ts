import type {Engine} from './engine.js';
import {EngineLoad} from './engine_load.js';
import type {LengthClasses} from './length_classes.js';
import type {LoadReport} from './load_report.js';
import {ModelEngines} from './model_engines.js';
import {orderByRendezvous} from './order_by_rendezvous.js';
import {PrefillRate} from './prefill_rate.js';
import type {Upstream} from './upstream.js';

const DEFAULT_CHUNK_MS = 25;

/** The engines that this host knows, by name and by model. */
export class EngineRegistry {
  private readonly engines = new Map<string, Engine>();
  private models = new Map<string, ModelEngines>();

  constructor(
    private readonly classes: LengthClasses,
    private readonly prefillTokensPerMs: number | undefined,
    private readonly chunkMs = DEFAULT_CHUNK_MS,
  ) {}

  getEngine(name: string): Engine | undefined {
    return this.engines.get(name);
  }

  /** Index of an engine in the rendezvous order of its model. */
  getPosition(name: string): number | undefined {
    return this.engines.get(name)?.position;
  }

  /** Writes a changed load of an engine to the load table of its model. */
  updateLoad(engine: Engine, nowMs: number): void {
    this.models.get(engine.upstream.model)?.updateLoad(engine, nowMs);
  }

  /**
   * Applies a load report. Outdated reports and those of unknown engines are
   * ignored.
   */
  applyReport(name: string, report: LoadReport, nowMs: number): void {
    const engine = this.engines.get(name);
    const ageMs = engine?.load.applyReport(report, nowMs);
    if (!engine || ageMs === undefined) return;
    this.models.get(engine.upstream.model)?.observeReportAge(ageMs);
    this.updateLoad(engine, nowMs);
  }

  /** Excludes the engine from new requests until `untilMs` (monotonic). */
  setAvoidedUntil(name: string, untilMs: number, nowMs: number): void {
    const engine = this.engines.get(name);
    if (!engine) return;
    engine.avoidedUntilMs = untilMs;
    this.updateLoad(engine, nowMs);
  }

  getModel(name: string): ModelEngines | undefined {
    return this.models.get(name);
  }

  /**
   * Replaces the list of upstreams; returns the names of the removed engines.
   */
  setUpstreams(upstreams: readonly Upstream[], nowMs: number): string[] {
    const names = new Set(upstreams.map(upstream => upstream.name));
    const removed = [...this.engines.keys()].filter(name => !names.has(name));
    for (const name of removed) this.engines.delete(name);
    for (const upstream of upstreams) this.setUpstream(upstream);
    this.models = this.groupByModel(upstreams, nowMs);
    return removed;
  }

  /**
   * Returns the engines in rendezvous order; sorts them only if the set of
   * engines has changed.
   */
  private orderNames(
    model: string,
    names: readonly string[],
  ): readonly string[] {
    const previous = this.models.get(model)?.engines ?? [];
    const previousNames = new Set(previous.map(({upstream}) => upstream.name));
    const isSame =
      previousNames.size === names.length &&
      names.every(name => previousNames.has(name));
    return isSame
      ? previous.map(({upstream}) => upstream.name)
      : orderByRendezvous(model, names);
  }

  private setUpstream(upstream: Upstream): void {
    const engine = this.engines.get(upstream.name);
    if (engine) {
      engine.upstream = upstream;
      return;
    }
    this.engines.set(upstream.name, {
      upstream,
      load: new EngineLoad(this.classes.size, tokens =>
        this.classes.indexOf(tokens),
      ),
      avoidedUntilMs: -Infinity,
      position: 0,
    });
  }

  private groupByModel(
    upstreams: readonly Upstream[],
    nowMs: number,
  ): Map<string, ModelEngines> {
    const names = new Map<string, string[]>();
    for (const {model, name} of upstreams) {
      const namesOfModel = names.get(model) ?? [];
      namesOfModel.push(name);
      names.set(model, namesOfModel);
    }
    const models = new Map<string, ModelEngines>();
    for (const [model, namesOfModel] of names) {
      const ordered = this.orderNames(model, namesOfModel).flatMap(
        name => this.engines.get(name) ?? [],
      );
      const rate =
        this.models.get(model)?.rate ??
        new PrefillRate(this.prefillTokensPerMs);
      models.set(
        model,
        new ModelEngines(ordered, rate, this.chunkMs, this.classes.size, nowMs),
      );
    }
    return models;
  }
}
