import type {Decision} from '@parsleywood/types';
import type {EngineOrder} from './engine_order.js';
import {EngineOrderKind} from './engine_order_kind.js';
import {EngineRecord} from './engine_record.js';
import {LoadPace} from './load_rate_limiter.js';
import type {PlacementAction} from './placement_action.js';
import {PlacementActionKind} from './placement_action_kind.js';
import type {PlacementEvent} from './placement_event.js';
import {PlacementEventKind} from './placement_event_kind.js';
import type {PlacementPlan} from './placement_plan.js';
import {Turns} from './takeover_schedule.js';

const FRESH_MS = 1_000;
/** An order takes effect within this time of the read that allowed it. */
const HOLD_MS = 3_000;
const BUSY_READ_MS = 500;

/** Decides which engines this host reads and which orders it gives them. */
export class Placement implements Decision<PlacementEvent, PlacementAction> {
  private plan: PlacementPlan | undefined;
  private highest = 0;
  private alive: readonly string[] = [];
  private listed = 0;
  private readonly records = new Map<string, EngineRecord>();
  private readonly turns: Turns;
  private readonly pace = new LoadPace();
  private actions: PlacementAction[] = [];
  private wakeMs = Infinity;

  /** @param host Name of this host. */
  constructor(host: string) {
    this.turns = new Turns(host);
  }

  /** Whether an engine or a peer showed a newer revision than this host's. */
  isStale(): boolean {
    return this.highest > (this.plan?.fencing ?? 0);
  }

  /** Highest fencing number known, for the peers. */
  highestFencing(): number {
    return this.highest;
  }

  handle(event: PlacementEvent, nowMs: number): PlacementAction[] {
    this.actions = [];
    this.wakeMs = Infinity;
    this.take(event, nowMs);
    this.decide(nowMs);
    return this.actions;
  }

  wakeAtMs(): number {
    return this.wakeMs;
  }

  private take(event: PlacementEvent, nowMs: number): void {
    switch (event.kind) {
      case PlacementEventKind.PLAN:
        this.takePlan(event.plan, nowMs);
        break;
      case PlacementEventKind.DISABLED:
        this.plan = undefined;
        this.records.clear();
        break;
      case PlacementEventKind.MEMBERS:
        this.alive = event.alive;
        this.listed = Math.max(event.listed, event.alive.length, 1);
        break;
      case PlacementEventKind.KNOWN:
        this.highest = Math.max(this.highest, event.fencing);
        break;
      case PlacementEventKind.READ_BACK:
        this.takeContent(event, nowMs);
        break;
      case PlacementEventKind.REFUSED:
        this.highest = Math.max(this.highest, event.fencing);
        this.records.get(event.engine)?.takeEnd(false);
        break;
      case PlacementEventKind.ORDERED:
        this.records.get(event.engine)?.takeEnd(false);
        break;
      case PlacementEventKind.READ_FAILED:
      case PlacementEventKind.FAILED:
        this.takeFailure(event.engine, nowMs);
        break;
      case PlacementEventKind.WAKE:
        break;
    }
  }

  private takePlan(plan: PlacementPlan, nowMs: number): void {
    if (plan.fencing <= (this.plan?.fencing ?? 0)) return;
    this.plan = plan;
    this.highest = Math.max(this.highest, plan.fencing);
    this.turns.clear();
    const names = new Set(plan.engines.map(({engine}) => engine));
    for (const name of this.records.keys()) {
      if (!names.has(name)) this.records.delete(name);
    }
    for (const wanted of plan.engines) {
      const record = this.records.get(wanted.engine);
      if (record) record.wanted = wanted;
      else this.records.set(wanted.engine, new EngineRecord(wanted));
      this.turns.noteProgress(wanted.model, nowMs);
    }
  }

  private takeContent(
    event: PlacementEvent & {kind: PlacementEventKind.READ_BACK},
    nowMs: number,
  ): void {
    const record = this.records.get(event.engine);
    if (record === undefined) return;
    const before = JSON.stringify(record.content);
    record.takeContent(event.content, nowMs);
    this.highest = Math.max(this.highest, event.content.fencing);
    if (before !== JSON.stringify(event.content)) {
      this.turns.noteProgress(record.wanted.model, nowMs);
    }
  }

  private takeFailure(engine: string, nowMs: number): void {
    const record = this.records.get(engine);
    record?.takeEnd(true);
    if (record) record.nextReadAtMs = nowMs + BUSY_READ_MS;
  }

  private decide(nowMs: number): void {
    const {plan} = this;
    if (plan === undefined) return;
    for (const [model, records] of this.groupByModel()) {
      // Without a rate one host gives all loads, one after another.
      const key = plan.bytesPerSecond === undefined ? '' : model;
      const rank = this.turns.rankOf(key, this.alive);
      const actsAtMs = this.turns.actsAtMs(model, rank, nowMs);
      const isConverged = records.every(one => one.isConverged(plan.fencing));
      const mayAct = this.listed > 0 && !this.isStale();
      const acts = mayAct && !isConverged && nowMs >= actsAtMs;
      if (isConverged) this.turns.noteConverged(model);
      if (acts) this.turns.noteActing(model);
      if (acts) this.orderModel(plan, records, nowMs);
      else if (!isConverged && actsAtMs > nowMs) this.wakeBy(actsAtMs);
      const periodMs = acts ? BUSY_READ_MS : plan.readBackMs * (rank + 1);
      this.readDue(records, periodMs, nowMs);
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

  private readDue(
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
        const {engine} = record.wanted;
        this.actions.push({kind: PlacementActionKind.READ, engine});
      } else {
        this.wakeBy(record.nextReadAtMs);
      }
    }
  }

  /** Fences all engines of a model first, then changes them. */
  private orderModel(
    plan: PlacementPlan,
    records: readonly EngineRecord[],
    nowMs: number,
  ): void {
    const up = records.filter(({isDown}) => !isDown);
    for (const record of up) {
      if (!record.isFresh(nowMs, FRESH_MS)) continue;
      if ((record.content?.fencing ?? 0) >= plan.fencing) continue;
      this.setRole(record, undefined, nowMs);
    }
    const isFenced = up.every(
      record =>
        record.isFresh(nowMs, FRESH_MS) &&
        record.isFenced(plan.fencing, HOLD_MS),
    );
    if (!isFenced) return;
    this.orderLoad(plan, records, up, nowMs);
    for (const record of up) {
      if (!record.isFresh(nowMs, FRESH_MS)) continue;
      const {role} = record.wanted;
      if (record.content?.role !== role) this.setRole(record, role, nowMs);
    }
  }

  private orderLoad(
    plan: PlacementPlan,
    records: readonly EngineRecord[],
    up: readonly EngineRecord[],
    nowMs: number,
  ): void {
    const loading = up.filter(record => record.isLoading()).length;
    const record = up.find(
      one => !one.isLoading() && one.missingLoad() !== undefined,
    );
    const load = record?.missingLoad();
    if (record === undefined || load === undefined) return;
    if (loading >= plan.loadsAtOnce) return;
    const isOtherServing = up.some(one => one !== record && one.isServing());
    const interrupts =
      load.kind === EngineOrderKind.LOAD_MODEL && record.isServing();
    if (interrupts && !isOtherServing && records.length > 1) return;
    if (!this.mayLoad(plan, nowMs)) return;
    if (plan.bytesPerSecond !== undefined) {
      const share = plan.bytesPerSecond / this.listed;
      this.pace.charge(load.sizeBytes, share, nowMs);
    }
    const {kind, name, version} = load;
    this.give(record, {fencing: plan.fencing, kind, name, version}, nowMs);
    record.isLoadOrdered = true;
  }

  private mayLoad(plan: PlacementPlan, nowMs: number): boolean {
    if (plan.bytesPerSecond === undefined) {
      return ![...this.records.values()].some(
        one => !one.isDown && one.isLoading(),
      );
    }
    if (this.pace.isFree(nowMs)) return true;
    this.wakeBy(this.pace.nextAtMs());
    return false;
  }

  /** @param role Absent: only raises the fencing number of the engine. */
  private setRole(
    record: EngineRecord,
    role: string | undefined,
    nowMs: number,
  ): void {
    const fencing = this.plan?.fencing ?? 0;
    const kind = EngineOrderKind.SET_ROLE;
    const order = role === undefined ? {fencing, kind} : {fencing, kind, role};
    this.give(record, order, nowMs);
  }

  private give(record: EngineRecord, order: EngineOrder, nowMs: number): void {
    const validUntilMs = record.readAtMs + FRESH_MS;
    record.callStartedAtMs = nowMs;
    record.readAtMs = -Infinity;
    const {engine} = record.wanted;
    const kind = PlacementActionKind.ORDER;
    this.actions.push({kind, engine, order, validUntilMs});
  }

  private wakeBy(atMs: number): void {
    this.wakeMs = Math.min(this.wakeMs, atMs);
  }
}
