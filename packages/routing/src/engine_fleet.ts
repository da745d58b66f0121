import type {Engine} from './engine.js';
import {EngineLoad} from './engine_load.js';
import type {LengthClasses} from './length_classes.js';
import type {LoadReport} from './load_report.js';
import {ModelEngines} from './model_engines.js';
import {orderByRendezvous} from './order_by_rendezvous.js';
import {PrefillRate} from './prefill_rate.js';
import type {Upstream} from './upstream.js';

const DEFAULT_CHUNK_MS = 25;

/** All engines that a host knows, by name and by model. */
export class EngineFleet {
  private readonly engines = new Map<string, Engine>();
  private models = new Map<string, ModelEngines>();

  constructor(
    private readonly classes: LengthClasses,
    private readonly prefillTokensPerMs: number | undefined,
    private readonly chunkMs = DEFAULT_CHUNK_MS,
  ) {}

  engine(name: string): Engine | undefined {
    return this.engines.get(name);
  }

  /** Position of an engine in the order of its model. */
  position(name: string): number | undefined {
    return this.engines.get(name)?.position;
  }

  /** Takes over a change of the engine's load. */
  touch(engine: Engine, nowMs: number): void {
    this.models.get(engine.upstream.model)?.write(engine, nowMs);
  }

  /** Takes a report; older ones and those of unknown engines are ignored. */
  takeReport(name: string, report: LoadReport, nowMs: number): void {
    const engine = this.engines.get(name);
    const ageMs = engine?.load.takeReport(report, nowMs);
    if (!engine || ageMs === undefined) return;
    this.models.get(engine.upstream.model)?.observeReportAge(ageMs);
    this.touch(engine, nowMs);
  }

  /** Gives the engine no new work until the time given. */
  avoid(name: string, untilMs: number, nowMs: number): void {
    const engine = this.engines.get(name);
    if (!engine) return;
    engine.avoidedUntilMs = untilMs;
    this.touch(engine, nowMs);
  }

  model(name: string): ModelEngines | undefined {
    return this.models.get(name);
  }

  /** Takes the full list; returns the names of the engines that are gone. */
  update(upstreams: readonly Upstream[], nowMs: number): string[] {
    const names = new Set(upstreams.map(upstream => upstream.name));
    const gone = [...this.engines.keys()].filter(name => !names.has(name));
    for (const name of gone) this.engines.delete(name);
    for (const upstream of upstreams) this.updateEngine(upstream);
    this.models = this.groupByModel(upstreams, nowMs);
    return gone;
  }

  /** Orders the engines anew only where there are others than before. */
  private order(model: string, names: readonly string[]): readonly string[] {
    const before = this.models.get(model)?.engines ?? [];
    const known = new Set(before.map(({upstream}) => upstream.name));
    const isSame =
      known.size === names.length && names.every(name => known.has(name));
    return isSame
      ? before.map(({upstream}) => upstream.name)
      : orderByRendezvous(model, names);
  }

  private updateEngine(upstream: Upstream): void {
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
      const siblings = names.get(model) ?? [];
      siblings.push(name);
      names.set(model, siblings);
    }
    const models = new Map<string, ModelEngines>();
    for (const [model, siblings] of names) {
      const ordered = this.order(model, siblings).flatMap(
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
