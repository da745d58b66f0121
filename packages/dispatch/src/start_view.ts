import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import {addHiddenLoad} from './add_hidden_load.js';
import type {EngineForecast} from './engine_forecast.js';
import type {EngineLoad} from './engine_load.js';
import type {HiddenLoad} from './hidden_load.js';
import {PassModel} from './pass_model.js';
import type {UpstreamPlacements} from './upstream_placements.js';

/**
 * Time for which a host must have heard of placements to know the load of engines.
 * What was placed before is mostly over by then.
 */
const WHOLE_VIEW_MS = 3_000;
/** Engines of a service whose report is read in a round: each costs the engine work. */
const ENGINES_PER_ROUND = 4;
const MAX_ROUNDS = 2;
const ROUND_INTERVAL_MS = 1_000;
/** Time after the beginning of a round in which reports arrive. */
const ANSWER_MS = 400;
/** Age of what a report says as it arrives. */
const REPORT_LAG_MS = 300;
/** Time for which a report is used. */
const REPORT_LIFE_MS = 2_000;
/** Part of the slots in use from which on an engine counts as busy. */
const BUSY_SHARE = 0.5;
/** Prompts that take longer to read, or more of an engine's memory, are very large. */
const MAX_UNINFORMED_MS = 300;
const MAX_UNINFORMED_MEMORY_SHARE = 0.25;

interface Report {
  readonly load: EngineLoad;
  readonly hidden: HiddenLoad;
  readonly receivedMs: number;
}

/**
 * Decides how a host chooses engines while it does not know their load. Load pattern:
 * all hosts of a site lose power for a moment and come back, or single ones restart,
 * while engines are still busy with what was sent before.
 */
export class StartView {
  private viewSinceMs = Infinity;
  private readonly reports = new Map<string, Report>();
  private readonly asked = new Set<string>();
  /** Rounds of questions and the time of the last one, by service. */
  private readonly rounds = new Map<string, {count: number; atMs: number}>();

  /**
   * @param startedAtUnixMs Start of this host; an engine that started later has only
   *     what this host may have heard of.
   * @param isUsed Whether a service asks for this; others are served as ever.
   */
  constructor(
    private readonly startedAtUnixMs: number,
    private readonly isUsed: (service: Service) => boolean,
  ) {}

  /** Records that this host is ready, and hears of placements from now on. */
  begin(nowMs: number): void {
    this.viewSinceMs = Math.min(this.viewSinceMs, nowMs);
  }

  /** Time for which placements have been heard of, also by a peer that told them. */
  getViewMs(nowMs: number): number {
    return Math.max(0, nowMs - this.viewSinceMs);
  }

  /** Records that a peer told the placements in progress that it knows. */
  recordPeerView(viewMs: number, nowMs: number): void {
    this.viewSinceMs = Math.min(this.viewSinceMs, nowMs - viewMs);
  }

  /** Whether the load of a service's engines is not known as a whole. */
  isMissing(service: Service, nowMs: number): boolean {
    return (
      service.engine !== undefined &&
      this.getViewMs(nowMs) < WHOLE_VIEW_MS &&
      this.isUsed(service)
    );
  }

  /**
   * Chooses the engines whose report is to be read now; each call that returns any is
   * a round. Hosts that start together draw different ones.
   *
   * @param draw Returns a random number in [0, 1).
   */
  chooseQuestions(
    engines: readonly UpstreamEntry[],
    service: Service,
    nowMs: number,
    draw: () => number,
  ): UpstreamEntry[] {
    const {count, atMs} = this.getRound(service);
    const isDue = count < MAX_ROUNDS && nowMs - atMs >= ROUND_INTERVAL_MS;
    if (!isDue || !this.isMissing(service, nowMs)) return [];
    const chosen = engines
      .filter(engine => this.isOlder(engine))
      .map(engine => ({
        engine,
        rank: draw() + (this.asked.has(engine.id) ? 1 : 0),
      }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, ENGINES_PER_ROUND)
      .map(({engine}) => engine);
    for (const {id} of chosen) this.asked.add(id);
    if (chosen.length > 0) {
      this.rounds.set(service.name, {count: count + 1, atMs: nowMs});
    }
    return chosen;
  }

  /**
   * Records the report of an engine.
   *
   * @param known Placements that are known there now; the report covers older ones.
   */
  recordReport(
    engine: string,
    load: EngineLoad,
    known: UpstreamPlacements,
    nowMs: number,
  ): void {
    const covered = known.records.filter(
      ({placedAtMs}) => placedAtMs <= nowMs - REPORT_LAG_MS,
    ).length;
    const {runningRequests, waitingRequests, usedMemoryTokens} = load;
    const all = runningRequests + waitingRequests;
    const hidden = Math.max(0, all - covered);
    const running = Math.min(hidden, runningRequests);
    this.reports.set(engine, {
      load,
      hidden: {
        runningRequests: running,
        waitingRequests: hidden - running,
        memoryTokens: all === 0 ? 0 : (usedMemoryTokens * hidden) / all,
      },
      receivedMs: nowMs,
    });
  }

  /** Age of the report that is used of an engine; undefined without one. */
  getReportAgeMs(engine: string, nowMs: number): number | undefined {
    const report = this.findReport(engine, nowMs);
    return report && nowMs - report.receivedMs;
  }

  /**
   * Orders the engines that may be chosen, known free ones first and known busy ones
   * last. For a very large prompt, those of unknown load are left out.
   *
   * @param candidates Engines in this host's own order of preference.
   */
  select(
    candidates: readonly UpstreamEntry[],
    service: Service,
    promptTokens: number,
    nowMs: number,
  ): readonly UpstreamEntry[] {
    if (!this.isMissing(service, nowMs)) return candidates;
    const isKnown = ({id}: UpstreamEntry): boolean =>
      this.findReport(id, nowMs) !== undefined;
    const allowed = isVeryLarge(service, promptTokens)
      ? candidates.filter(one => !this.isOlder(one) || isKnown(one))
      : candidates;
    return allowed
      .map(engine => ({engine, rank: this.rank(engine, nowMs)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({engine}) => engine);
  }

  /** Time until a prompt that was left out for want of a report may be placed. */
  planReturnMs(service: Service, nowMs: number): number {
    const {count, atMs} = this.getRound(service);
    const wholeMs = WHOLE_VIEW_MS - this.getViewMs(nowMs);
    const sinceMs = nowMs - atMs;
    if (sinceMs < ANSWER_MS) return ANSWER_MS - sinceMs;
    if (count >= MAX_ROUNDS) return wholeMs;
    const nextMs = Math.max(0, ROUND_INTERVAL_MS - sinceMs) + ANSWER_MS;
    return Math.min(wholeMs, nextMs);
  }

  /** Adds to a forecast what a report shows beyond the known placements. */
  adjust(
    forecast: EngineForecast,
    model: PassModel,
    nowMs: number,
  ): EngineForecast {
    if (this.reports.size === 0) return forecast;
    const report = this.findReport(forecast.upstream, nowMs);
    return report ? addHiddenLoad(forecast, report.hidden, model) : forecast;
  }

  /** Drops the reports of upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const id of this.asked) {
      if (upstreams.has(id)) continue;
      this.asked.delete(id);
      this.reports.delete(id);
    }
  }

  private findReport(engine: string, nowMs: number): Report | undefined {
    const report = this.reports.get(engine);
    const isUsable =
      report !== undefined &&
      nowMs - report.receivedMs < REPORT_LIFE_MS &&
      this.getViewMs(nowMs) < WHOLE_VIEW_MS;
    return isUsable ? report : undefined;
  }

  private getRound({name}: Service): {count: number; atMs: number} {
    return this.rounds.get(name) ?? {count: 0, atMs: -Infinity};
  }

  private isOlder({bornMs}: UpstreamEntry): boolean {
    return bornMs === undefined || bornMs < this.startedAtUnixMs;
  }

  private rank(engine: UpstreamEntry, nowMs: number): number {
    if (!this.isOlder(engine)) return 0;
    const report = this.findReport(engine.id, nowMs);
    if (report === undefined) return 1;
    const {runningRequests, waitingRequests} = report.load;
    const isBusy =
      runningRequests + waitingRequests >= BUSY_SHARE * engine.slots;
    return isBusy ? 2 : 0;
  }
}

function isVeryLarge({engine}: Service, promptTokens: number): boolean {
  if (engine === undefined) return false;
  const pairs = PassModel.countMillionPairs(promptTokens);
  const readMs = new PassModel(engine).estimatePrefillMs(promptTokens, pairs);
  return (
    readMs > MAX_UNINFORMED_MS ||
    promptTokens > MAX_UNINFORMED_MEMORY_SHARE * engine.memoryTokens
  );
}
