import type {SpreadAction} from './spread_action.js';
import {SpreadPhase} from './spread_phase.js';
import type {SpreadReservation} from './spread_reservation.js';
import type {SpreadTask} from './spread_task.js';

/** The spread prompts of this host, by request ID and by reservation name. */
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

  /** Releases the reservation of the prompt, if any. */
  release(task: SpreadTask): SpreadAction[] {
    const reservation = task.reservation;
    if (!reservation) return [];
    this.reservations.delete(reservation.name);
    task.reservation = undefined;
    return reservation.release();
  }

  /** Removes the prompt and releases its reservation, if any. */
  remove(task: SpreadTask): SpreadAction[] {
    this.tasks.delete(task.id);
    return this.release(task);
  }

  /** Whether any prompt has a partial reservation. */
  isReserving(): boolean {
    return this.list().some(({phase}) => phase === SpreadPhase.RESERVING);
  }

  /**
   * Monotonic time at which a prompt needs its next step; Infinity when there
   * is none.
   */
  findDueTimeMs(): number {
    const isReserving = this.isReserving();
    return Math.min(
      Infinity,
      ...this.list().map(task => task.findDueTimeMs(isReserving)),
    );
  }
}
