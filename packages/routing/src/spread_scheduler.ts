import {ErrorKind} from '@parsleywood/errors';
import type {Decision} from '@parsleywood/types';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

import {chooseSpreadLayout} from './choose_spread_layout.js';
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
/** Time after which an engine without enough free memory is asked again. */
const RETRY_REQUEST_MS = 200;
/** Time after which a partial reservation is abandoned. */
const MAX_PARTIAL_MS = 2000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2000;
/** Maximum delay that a refused client is told to wait before it retries. */
const RETRY_AFTER_MS = 10_000;
const MAX_ROTATION = 1023;

/**
 * Runs spread prompts, which exceed the memory of one engine and therefore run on
 * several. Memory is reserved on all engines of a prompt or on none. Engines are
 * reserved one after another in the order of their names, so that hosts cannot
 * deadlock. Each reservation is a lease, so that it expires if its host dies.
 */
export class SpreadScheduler implements Decision<SpreadEvent, SpreadAction> {
  private readonly tasks = new SpreadTasks();
  private engines: readonly SpreadEngine[] = [];
  private reservationCount = 0;

  constructor(private readonly options: SpreadOptions) {}

  handle(event: SpreadEvent, nowMs: number): SpreadAction[] {
    const actions: SpreadAction[] = [];
    const isEnd = event.kind === SpreadEventKind.ENDED;
    if (isEnd) this.applyEvent(event, actions, nowMs);
    this.endExpired(actions, nowMs);
    if (!isEnd) this.applyEvent(event, actions, nowMs);
    for (const task of this.tasks.list()) {
      this.advance(task, actions, nowMs);
    }
    return actions;
  }

  wakeAtMs(): number {
    return this.tasks.findDueTimeMs();
  }

  private applyEvent(
    event: SpreadEvent,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    switch (event.kind) {
      case SpreadEventKind.NEEDED:
        this.addTask(event, nowMs);
        break;
      case SpreadEventKind.ENGINES:
        this.engines = event.engines;
        this.backOffUnavailable(actions, nowMs);
        break;
      case SpreadEventKind.RESERVED:
        this.applyReserved(event, actions);
        break;
      case SpreadEventKind.REFUSED:
        this.applyRefused(event.reservation, event.engine, actions, nowMs);
        break;
      case SpreadEventKind.EXPIRED: {
        const task = this.tasks.findByReservation(event.reservation);
        if (task?.reservation?.has(event.engine)) {
          this.handleLoss(task, actions, nowMs);
        }
        break;
      }
      case SpreadEventKind.LOST:
        for (const task of this.tasks.list()) {
          if (!task.reservation?.has(event.engine)) continue;
          this.handleLoss(task, actions, nowMs);
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

  private addTask(
    event: SpreadEvent & {kind: SpreadEventKind.NEEDED},
    nowMs: number,
  ): void {
    if (this.tasks.has(event.id)) return;
    const {id, model, tokens, latestStartMs} = event;
    const rotation = uniformInt(this.options.random, 0, MAX_ROTATION);
    const task = new SpreadTask(
      id,
      model,
      tokens,
      latestStartMs,
      rotation,
      nowMs,
    );
    this.tasks.add(task);
  }

  private applyReserved(
    event: SpreadEvent & {kind: SpreadEventKind.RESERVED},
    actions: SpreadAction[],
  ): void {
    const {reservation, engine, requestedAtMs} = event;
    const task = this.tasks.findByReservation(reservation);
    if (task?.reservation?.has(engine)) {
      task.reservation.confirm(engine, requestedAtMs);
      return;
    }
    const id = task?.id ?? '';
    actions.push({kind: SpreadActionKind.RELEASE, id, reservation, engine});
  }

  private applyRefused(
    name: string,
    engine: string,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    const task = this.tasks.findByReservation(name);
    const reservation = task?.reservation;
    if (!task || !reservation?.has(engine)) return;
    if (reservation.isConfirmedBy(engine)) {
      this.handleLoss(task, actions, nowMs);
    } else if (
      reservation.requestedCount === 1 ||
      nowMs >= reservation.abandonAtMs
    ) {
      this.backOff(task, actions, nowMs);
    } else {
      reservation.retryLast(nowMs + RETRY_REQUEST_MS);
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
        this.beginReservation(task, actions, nowMs);
      }
      return;
    }
    actions.push(...(task.reservation?.renewLeases(nowMs) ?? []));
    if (task.phase === SpreadPhase.RESERVING) {
      this.continueReservation(task, actions, nowMs);
    }
  }

  private beginReservation(
    task: SpreadTask,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    const {id, model, tokens, rotation} = task;
    const engines = this.engines.filter(engine => engine.model === model);
    const layout = chooseSpreadLayout(model, engines, tokens, rotation);
    if (!layout) {
      actions.push(...this.tasks.remove(task));
      actions.push(this.createRefusal(id, ErrorKind.UPSTREAM_UNAVAILABLE));
      return;
    }
    const name = `${this.options.host}/${id}/${this.reservationCount++}`;
    const reservation = new SpreadReservation(
      name,
      id,
      layout,
      this.options.leaseMs ?? DEFAULT_LEASE_MS,
      this.options.answerTimeoutMs ?? DEFAULT_ANSWER_TIMEOUT_MS,
      nowMs + MAX_PARTIAL_MS,
    );
    this.tasks.setReservation(task, reservation);
    task.phase = SpreadPhase.RESERVING;
    this.continueReservation(task, actions, nowMs);
  }

  private continueReservation(
    task: SpreadTask,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    const reservation = task.reservation;
    if (!reservation) return;
    if (reservation.isFullyRequested && !reservation.isPending) {
      this.startRun(task, reservation, actions, nowMs);
    } else if (
      reservation.isAnswerOverdue(nowMs) ||
      (!reservation.isPending && nowMs >= reservation.abandonAtMs)
    ) {
      this.backOff(task, actions, nowMs);
    } else if (reservation.canRequestNext(nowMs)) {
      actions.push(...reservation.requestNext(nowMs));
    }
  }

  private startRun(
    task: SpreadTask,
    reservation: SpreadReservation,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    if (!reservation.areLeasesValid(nowMs)) {
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

  /**
   * Releases the reservation and schedules a retry, with exponential backoff,
   * on the next engines.
   */
  private backOff(
    task: SpreadTask,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    actions.push(...this.tasks.release(task));
    const maxBackoffMs = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** task.retryCount,
    );
    task.retryCount++;
    task.rotation++;
    task.phase = SpreadPhase.WAITING;
    task.retryAtMs =
      nowMs + uniformInt(this.options.random, MIN_BACKOFF_MS, maxBackoffMs);
  }

  /**
   * Stops a run that has lost an engine, or schedules a retry if it has not
   * started.
   */
  private handleLoss(
    task: SpreadTask,
    actions: SpreadAction[],
    nowMs: number,
  ): void {
    if (task.phase !== SpreadPhase.RUNNING) {
      this.backOff(task, actions, nowMs);
      return;
    }
    actions.push(...this.tasks.remove(task));
    actions.push({kind: SpreadActionKind.STOP, id: task.id});
  }

  private endExpired(actions: SpreadAction[], nowMs: number): void {
    for (const task of this.tasks.list()) {
      if (task.phase === SpreadPhase.RUNNING) {
        const isHeld = task.reservation?.areLeasesValid(nowMs) ?? false;
        if (!isHeld) this.handleLoss(task, actions, nowMs);
      } else if (nowMs >= task.latestStartMs) {
        actions.push(...this.tasks.remove(task));
        actions.push(this.createRefusal(task.id, ErrorKind.TIME_LIMIT));
      }
    }
  }

  /**
   * Schedules a retry for each partial reservation with an engine that accepts
   * no new requests.
   */
  private backOffUnavailable(actions: SpreadAction[], nowMs: number): void {
    const names = new Set(this.engines.map(engine => engine.name));
    for (const task of this.tasks.list()) {
      if (task.phase !== SpreadPhase.RESERVING) continue;
      const engines = task.reservation?.engines ?? [];
      if (engines.every(name => names.has(name))) continue;
      this.backOff(task, actions, nowMs);
    }
  }

  private createRefusal(id: string, error: ErrorKind): SpreadAction {
    const retryAfterMs = uniformInt(
      this.options.random,
      RETRY_AFTER_MS / 2,
      RETRY_AFTER_MS,
    );
    return {kind: SpreadActionKind.REFUSE, id, error, retryAfterMs};
  }
}
