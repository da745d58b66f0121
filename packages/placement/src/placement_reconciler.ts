import type {Decision} from '@parsleywood/types';
import type {EngineCommand} from './engine_command.js';
import {EngineCommandKind} from './engine_command_kind.js';
import {EngineRecord} from './engine_record.js';
import {LoadRateLimiter} from './load_rate_limiter.js';
import type {PlacementAction} from './placement_action.js';
import {PlacementActionKind} from './placement_action_kind.js';
import type {PlacementEvent} from './placement_event.js';
import {PlacementEventKind} from './placement_event_kind.js';
import type {PlacementPlan} from './placement_plan.js';
import {TakeoverSchedule} from './takeover_schedule.js';

/** Commands are based only on reads that started within this time. */
const MAX_STATE_AGE_MS = 1_000;
/** A command takes effect within this time of the read that it is based on. */
const MAX_COMMAND_DELAY_MS = 3_000;
/** Read period while this host sends commands, and delay after a failed call. */
const ACTIVE_READ_PERIOD_MS = 500;

/**
 * Reconciles engines with the placement plan: decides which engines this host
 * reads and which commands it sends to them.
 */
export class PlacementReconciler implements Decision<
  PlacementEvent,
  PlacementAction
> {
  private plan: PlacementPlan | undefined;
  private highestSeenFencing = 0;
  private aliveHosts: readonly string[] = [];
  private listedHosts = 0;
  private readonly records = new Map<string, EngineRecord>();
  private readonly takeoverSchedule: TakeoverSchedule;
  private readonly loadRateLimiter = new LoadRateLimiter();
  private actions: PlacementAction[] = [];
  private wakeMs = Infinity;

  /** @param host Name of this host. */
  constructor(host: string) {
    this.takeoverSchedule = new TakeoverSchedule(host);
  }

  /** Whether any engine or peer has a newer fencing token than the plan. */
  isStale(): boolean {
    return this.highestSeenFencing > (this.plan?.fencing ?? 0);
  }

  /** Highest fencing token seen so far, to be sent to peers. */
  highestFencing(): number {
    return this.highestSeenFencing;
  }

  handle(event: PlacementEvent, nowMs: number): PlacementAction[] {
    this.actions = [];
    this.wakeMs = Infinity;
    this.applyEvent(event, nowMs);
    this.reconcile(nowMs);
    return this.actions;
  }

  wakeAtMs(): number {
    return this.wakeMs;
  }

  private applyEvent(event: PlacementEvent, nowMs: number): void {
    switch (event.kind) {
      case PlacementEventKind.PLAN:
        this.applyPlan(event.plan, nowMs);
        break;
      case PlacementEventKind.DISABLED:
        this.plan = undefined;
        this.records.clear();
        break;
      case PlacementEventKind.MEMBERS:
        this.aliveHosts = event.alive;
        this.listedHosts = Math.max(event.listed, event.alive.length, 1);
        break;
      case PlacementEventKind.FENCING_SEEN:
        this.highestSeenFencing = Math.max(
          this.highestSeenFencing,
          event.fencing,
        );
        break;
      case PlacementEventKind.READ_BACK:
        this.applyReadBack(event, nowMs);
        break;
      case PlacementEventKind.COMMAND_REFUSED:
        this.highestSeenFencing = Math.max(
          this.highestSeenFencing,
          event.fencing,
        );
        this.records.get(event.engine)?.recordCallEnd(false);
        break;
      case PlacementEventKind.COMMAND_ENDED:
        this.records.get(event.engine)?.recordCallEnd(false);
        break;
      case PlacementEventKind.READ_FAILED:
      case PlacementEventKind.COMMAND_FAILED:
        this.applyCallFailure(event.engine, nowMs);
        break;
      case PlacementEventKind.WAKE:
        break;
    }
  }

  private applyPlan(plan: PlacementPlan, nowMs: number): void {
    if (plan.fencing <= (this.plan?.fencing ?? 0)) return;
    this.plan = plan;
    this.highestSeenFencing = Math.max(this.highestSeenFencing, plan.fencing);
    this.takeoverSchedule.clear();
    const names = new Set(plan.engines.map(({engine}) => engine));
    for (const name of this.records.keys()) {
      if (!names.has(name)) this.records.delete(name);
    }
    for (const desired of plan.engines) {
      const record = this.records.get(desired.engine);
      if (record) record.desired = desired;
      else this.records.set(desired.engine, new EngineRecord(desired));
      this.takeoverSchedule.recordProgress(desired.model, nowMs);
    }
  }

  private applyReadBack(
    event: PlacementEvent & {kind: PlacementEventKind.READ_BACK},
    nowMs: number,
  ): void {
    const record = this.records.get(event.engine);
    if (record === undefined) return;
    const previousState = JSON.stringify(record.lastState);
    record.recordState(event.content, nowMs);
    this.highestSeenFencing = Math.max(
      this.highestSeenFencing,
      event.content.fencing,
    );
    if (previousState !== JSON.stringify(event.content)) {
      this.takeoverSchedule.recordProgress(record.desired.model, nowMs);
    }
  }

  private applyCallFailure(engine: string, nowMs: number): void {
    const record = this.records.get(engine);
    record?.recordCallEnd(true);
    if (record) record.nextReadAtMs = nowMs + ACTIVE_READ_PERIOD_MS;
  }

  private reconcile(nowMs: number): void {
    const {plan} = this;
    if (plan === undefined) return;
    for (const [model, records] of this.groupByModel()) {
      // Without a weight store rate, the same host is first for all models and
      // starts all loads, one at a time.
      const key = plan.bytesPerSecond === undefined ? '' : model;
      const rank = this.takeoverSchedule.getRank(key, this.aliveHosts);
      const startAtMs = this.takeoverSchedule.getTakeoverAtMs(
        model,
        rank,
        nowMs,
      );
      const isConverged = records.every(one => one.isConverged(plan.fencing));
      const mayAct = this.listedHosts > 0 && !this.isStale();
      const isActing = mayAct && !isConverged && nowMs >= startAtMs;
      if (isConverged) this.takeoverSchedule.markConverged(model);
      if (isActing) this.takeoverSchedule.markActive(model);
      if (isActing) this.reconcileModel(plan, records, nowMs);
      else if (!isConverged && startAtMs > nowMs) this.scheduleWake(startAtMs);
      const periodMs = isActing
        ? ACTIVE_READ_PERIOD_MS
        : plan.readBackMs * (rank + 1);
      this.readDueEngines(records, periodMs, nowMs);
    }
  }

  private groupByModel(): Map<string, EngineRecord[]> {
    const groups = new Map<string, EngineRecord[]>();
    for (const {engine, model} of this.plan?.engines ?? []) {
      const record = this.records.get(engine);
      const group = groups.get(model) ?? [];
      if (record) group.push(record);
      groups.set(model, group);
    }
    return groups;
  }

  private readDueEngines(
    records: readonly EngineRecord[],
    periodMs: number,
    nowMs: number,
  ): void {
    for (const record of records) {
      if (record.callStartedAtMs !== undefined) continue;
      record.nextReadAtMs = Math.min(record.nextReadAtMs, nowMs + periodMs);
      if (record.nextReadAtMs <= nowMs) {
        record.callStartedAtMs = nowMs;
        record.nextReadAtMs = nowMs + periodMs;
        const {engine} = record.desired;
        this.actions.push({kind: PlacementActionKind.READ, engine});
      } else {
        this.scheduleWake(record.nextReadAtMs);
      }
    }
  }

  /**
   * Raises the fencing token of all reachable engines of a model before it
   * changes any of them, so that no command of an older plan takes effect later.
   */
  private reconcileModel(
    plan: PlacementPlan,
    records: readonly EngineRecord[],
    nowMs: number,
  ): void {
    const reachable = records.filter(({isDown}) => !isDown);
    for (const record of reachable) {
      if (!record.isFresh(nowMs, MAX_STATE_AGE_MS)) continue;
      if ((record.lastState?.fencing ?? 0) >= plan.fencing) continue;
      this.setRole(record, undefined, nowMs);
    }
    const isFenced = reachable.every(
      record =>
        record.isFresh(nowMs, MAX_STATE_AGE_MS) &&
        record.isFenced(plan.fencing, MAX_COMMAND_DELAY_MS),
    );
    if (!isFenced) return;
    this.startNextLoad(plan, records, reachable, nowMs);
    for (const record of reachable) {
      if (!record.isFresh(nowMs, MAX_STATE_AGE_MS)) continue;
      const {role} = record.desired;
      if (record.lastState?.role !== role) this.setRole(record, role, nowMs);
    }
  }

  private startNextLoad(
    plan: PlacementPlan,
    records: readonly EngineRecord[],
    reachable: readonly EngineRecord[],
    nowMs: number,
  ): void {
    const loadingCount = reachable.filter(record => record.isLoading()).length;
    const record = reachable.find(
      one => !one.isLoading() && one.findMissingArtifact() !== undefined,
    );
    const artifact = record?.findMissingArtifact();
    if (record === undefined || artifact === undefined) return;
    if (loadingCount >= plan.loadsAtOnce) return;
    const isOtherServing = reachable.some(
      one => one !== record && one.isServing(),
    );
    const interruptsServing =
      artifact.kind === EngineCommandKind.LOAD_MODEL && record.isServing();
    if (interruptsServing && !isOtherServing && records.length > 1) return;
    if (!this.canStartLoad(plan, nowMs)) return;
    if (plan.bytesPerSecond !== undefined) {
      const hostBytesPerSecond = plan.bytesPerSecond / this.listedHosts;
      this.loadRateLimiter.recordLoad(
        artifact.sizeBytes,
        hostBytesPerSecond,
        nowMs,
      );
    }
    const {kind, name, version} = artifact;
    this.sendCommand(
      record,
      {fencing: plan.fencing, kind, name, version},
      nowMs,
    );
    record.isLoadSent = true;
  }

  private canStartLoad(plan: PlacementPlan, nowMs: number): boolean {
    if (plan.bytesPerSecond === undefined) {
      return ![...this.records.values()].some(
        one => !one.isDown && one.isLoading(),
      );
    }
    if (this.loadRateLimiter.canStartLoad(nowMs)) return true;
    this.scheduleWake(this.loadRateLimiter.getNextLoadAtMs());
    return false;
  }

  /** @param role If undefined, the command only raises the fencing token. */
  private setRole(
    record: EngineRecord,
    role: string | undefined,
    nowMs: number,
  ): void {
    const fencing = this.plan?.fencing ?? 0;
    const kind = EngineCommandKind.SET_ROLE;
    const command =
      role === undefined ? {fencing, kind} : {fencing, kind, role};
    this.sendCommand(record, command, nowMs);
  }

  private sendCommand(
    record: EngineRecord,
    command: EngineCommand,
    nowMs: number,
  ): void {
    const validUntilMs = record.stateReadAtMs + MAX_STATE_AGE_MS;
    record.callStartedAtMs = nowMs;
    record.stateReadAtMs = -Infinity;
    const {engine} = record.desired;
    const kind = PlacementActionKind.SEND_COMMAND;
    this.actions.push({kind, engine, order: command, validUntilMs});
  }

  private scheduleWake(atMs: number): void {
    this.wakeMs = Math.min(this.wakeMs, atMs);
  }
}
