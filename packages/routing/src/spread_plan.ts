import {ErrorKind} from '@parsleywood/errors';
import type {Decision} from '@parsleywood/types';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import {layOutSpread} from './lay_out_spread.js';
import type {SpreadAction} from './spread_action.js';
import {SpreadActionKind} from './spread_action_kind.js';
import type {SpreadEngine} from './spread_engine.js';
import type {SpreadEvent} from './spread_event.js';
import {SpreadEventKind} from './spread_event_kind.js';
import type {SpreadOptions} from './spread_options.js';
import {SpreadPhase} from './spread_phase.js';
import {SpreadReservation} from './spread_reservation.js';
import {SpreadTask} from './spread_task.js';
import {SpreadTasks} from './spread_tasks.js';

const DEFAULT_LEASE_MS = 10_000;
const DEFAULT_ANSWER_TIMEOUT_MS = 1000;
/** Time between two questions to an engine that has no room. */
const ASK_AGAIN_MS = 200;
/** Longest time that a partial reservation is held. */
const MAX_PARTIAL_MS = 2000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;
/** A prompt refused for lack of engines comes back within this time. */
const RETRY_AFTER_MS = 10_000;
const MAX_TURN = 1023;

/**
 * Reserves several engines for one prompt, all or none: one after another in
 * the order of their names, so that no two hosts wait for each other, each on a
 * lease, so that nothing outlives its host.
 */
export class SpreadPlan implements Decision<SpreadEvent, SpreadAction> {
  private readonly tasks = new SpreadTasks();
  private engines: readonly SpreadEngine[] = [];
  private reservations = 0;

  constructor(private readonly options: SpreadOptions) {}

  handle(event: SpreadEvent, nowMs: number): SpreadAction[] {
    const actions: SpreadAction[] = [];
    const isEnd = event.kind === SpreadEventKind.ENDED;
    if (isEnd) this.take(event, actions, nowMs);
    this.endLate(actions, nowMs);
    if (!isEnd) this.take(event, actions, nowMs);
    for (const task of this.tasks.all()) {
      this.advance(task, actions, nowMs);
    }
    return actions;
  }

  wakeAtMs(): number {
    return this.tasks.dueAtMs();
  }

  private take(
    event: SpreadEvent,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    switch (event.kind) {
      case SpreadEventKind.NEEDED:
        this.add(event, nowMs);
        break;
      case SpreadEventKind.ENGINES:
        this.engines = event.engines;
        this.leaveEngines(actions, nowMs);
        break;
      case SpreadEventKind.RESERVED:
        this.takeReserved(event, actions);
        break;
      case SpreadEventKind.REFUSED:
        this.takeRefused(event.reservation, event.engine, actions, nowMs);
        break;
      case SpreadEventKind.EXPIRED: {
        const task = this.tasks.byReservation(event.reservation);
        if (task?.reservation?.has(event.engine)) {
          this.lose(task, actions, nowMs);
        }
        break;
      }
      case SpreadEventKind.LOST:
        for (const task of this.tasks.all()) {
          if (!task.reservation?.has(event.engine)) continue;
          this.lose(task, actions, nowMs);
        }
        break;
      case SpreadEventKind.ENDED: {
        const task = this.tasks.get(event.id);
        if (task) actions.push(...this.tasks.remove(task));
        break;
      }
      case SpreadEventKind.WAKE:
        break;
    }
  }

  private add(
    event: SpreadEvent & {kind: SpreadEventKind.NEEDED},
    nowMs: number,
  ): void {
    if (this.tasks.has(event.id)) return;
    const {id, model, tokens, latestStartMs} = event;
    const turn = uniformInt(this.options.random, 0, MAX_TURN);
    const task = new SpreadTask(id, model, tokens, latestStartMs, turn, nowMs);
    this.tasks.add(task);
  }

  private takeReserved(
    event: SpreadEvent & {kind: SpreadEventKind.RESERVED},
    actions: SpreadAction[],
  ): void {
    const {reservation, engine, askedMs} = event;
    const task = this.tasks.byReservation(reservation);
    if (task?.reservation?.has(engine)) {
      task.reservation.confirm(engine, askedMs);
      return;
    }
    const id = task?.id ?? '';
    actions.push({kind: SpreadActionKind.RELEASE, id, reservation, engine});
  }

  private takeRefused(
    name: string,
    engine: string,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    const task = this.tasks.byReservation(name);
    const reservation = task?.reservation;
    if (!task || !reservation?.has(engine)) return;
    if (reservation.isHeldBy(engine)) {
      this.lose(task, actions, nowMs);
    } else if (reservation.size === 1 || nowMs >= reservation.giveUpAtMs) {
      this.backOff(task, actions, nowMs);
    } else {
      reservation.askLastAgain(nowMs + ASK_AGAIN_MS);
    }
  }

  private advance(
    task: SpreadTask,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    if (!this.tasks.has(task.id)) return;
    if (task.phase === SpreadPhase.WAITING) {
      if (nowMs >= task.retryAtMs && !this.tasks.isReserving()) {
        this.begin(task, actions, nowMs);
      }
      return;
    }
    actions.push(...(task.reservation?.renew(nowMs) ?? []));
    if (task.phase === SpreadPhase.RESERVING) {
      this.reserve(task, actions, nowMs);
    }
  }

  private begin(
    task: SpreadTask,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    const {id, model, tokens, turn} = task;
    const engines = this.engines.filter(engine => engine.model === model);
    const layout = layOutSpread(model, engines, tokens, turn);
    if (!layout) {
      actions.push(...this.tasks.remove(task));
      actions.push(this.refuse(id, ErrorKind.UPSTREAM_UNAVAILABLE));
      return;
    }
    const name = `${this.options.host}/${id}/${this.reservations++}`;
    const reservation = new SpreadReservation(
      name,
      id,
      layout,
      this.options.leaseMs ?? DEFAULT_LEASE_MS,
      this.options.answerTimeoutMs ?? DEFAULT_ANSWER_TIMEOUT_MS,
      nowMs + MAX_PARTIAL_MS,
    );
    this.tasks.reserve(task, reservation);
    task.phase = SpreadPhase.RESERVING;
    this.reserve(task, actions, nowMs);
  }

  private reserve(
    task: SpreadTask,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    const reservation = task.reservation;
    if (!reservation) return;
    if (reservation.isAsked && !reservation.isAsking) {
      this.start(task, reservation, actions, nowMs);
    } else if (
      reservation.isUnanswered(nowMs) ||
      (!reservation.isAsking && nowMs >= reservation.giveUpAtMs)
    ) {
      this.backOff(task, actions, nowMs);
    } else if (reservation.canAsk(nowMs)) {
      actions.push(...reservation.askNext(nowMs));
    }
  }

  private start(
    task: SpreadTask,
    reservation: SpreadReservation,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    if (!reservation.isHeld(nowMs)) {
      this.backOff(task, actions, nowMs);
      return;
    }
    task.phase = SpreadPhase.RUNNING;
    actions.push({
      kind: SpreadActionKind.START,
      id: task.id,
      reservation: reservation.name,
      engines: reservation.engines,
    });
  }

  /** Gives back all that is held and tries other engines later. */
  private backOff(
    task: SpreadTask,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    actions.push(...this.tasks.release(task));
    const mostMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** task.tries);
    task.tries++;
    task.turn++;
    task.phase = SpreadPhase.WAITING;
    task.retryAtMs =
      nowMs + uniformInt(this.options.random, MIN_BACKOFF_MS, mostMs);
  }

  /** Ends a run that an engine dropped out of, or tries again before it. */
  private lose(task: SpreadTask, actions: SpreadAction[], nowMs: number): void {
    if (task.phase !== SpreadPhase.RUNNING) {
      this.backOff(task, actions, nowMs);
      return;
    }
    actions.push(...this.tasks.remove(task));
    actions.push({kind: SpreadActionKind.STOP, id: task.id});
  }

  private endLate(actions: SpreadAction[], nowMs: number): void {
    for (const task of this.tasks.all()) {
      if (task.phase === SpreadPhase.RUNNING) {
        const isHeld = task.reservation?.isHeld(nowMs) ?? false;
        if (!isHeld) this.lose(task, actions, nowMs);
      } else if (nowMs >= task.latestStartMs) {
        actions.push(...this.tasks.remove(task));
        actions.push(this.refuse(task.id, ErrorKind.TIME_LIMIT));
      }
    }
  }

  /** Starts anew where an engine of a partial reservation takes no new work. */
  private leaveEngines(actions: SpreadAction[], nowMs: number): void {
    const names = new Set(this.engines.map(engine => engine.name));
    for (const task of this.tasks.all()) {
      if (task.phase !== SpreadPhase.RESERVING) continue;
      const engines = task.reservation?.engines ?? [];
      if (engines.every(name => names.has(name))) continue;
      this.backOff(task, actions, nowMs);
    }
  }

  private refuse(id: string, error: ErrorKind): SpreadAction {
    const retryAfterMs = uniformInt(
      this.options.random,
      RETRY_AFTER_MS / 2,
      RETRY_AFTER_MS,
    );
    return {kind: SpreadActionKind.REFUSE, id, error, retryAfterMs};
  }
}
