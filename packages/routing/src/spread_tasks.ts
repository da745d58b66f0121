import type {SpreadAction} from './spread_action.js';
import {SpreadPhase} from './spread_phase.js';
import type {SpreadReservation} from './spread_reservation.js';
import type {SpreadTask} from './spread_task.js';

/** The prompts of one host that need several engines, by name and reservation. */
export class SpreadTasks {
  private readonly tasks = new Map<string, SpreadTask>();
  private readonly reservations = new Map<string, SpreadTask>();

  list(): SpreadTask[] {
    return [...this.tasks.values()];
  }

  has(id: string): boolean {
    return this.tasks.has(id);
  }

  get(id: string): SpreadTask | undefined {
    return this.tasks.get(id);
  }

  findByReservation(name: string): SpreadTask | undefined {
    return this.reservations.get(name);
  }

  add(task: SpreadTask): void {
    this.tasks.set(task.id, task);
  }

  setReservation(task: SpreadTask, reservation: SpreadReservation): void {
    task.reservation = reservation;
    this.reservations.set(reservation.name, task);
  }

  /** Gives back what the prompt holds. */
  release(task: SpreadTask): SpreadAction[] {
    const reservation = task.reservation;
    if (!reservation) return [];
    this.reservations.delete(reservation.name);
    task.reservation = undefined;
    return reservation.release();
  }

  /** Forgets the prompt and gives back what it holds. */
  remove(task: SpreadTask): SpreadAction[] {
    this.tasks.delete(task.id);
    return this.release(task);
  }

  /** Whether a prompt holds part of what it needs. */
  isReserving(): boolean {
    return this.list().some(({phase}) => phase === SpreadPhase.RESERVING);
  }

  /** Monotonic time at which something is due; Infinity when nothing is. */
  findDueTimeMs(): number {
    const isReserving = this.isReserving();
    return Math.min(
      Infinity,
      ...this.list().map(task => task.findDueTimeMs(isReserving)),
    );
  }
}
