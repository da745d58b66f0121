import {SpreadPhase} from './spread_phase.js';
import type {SpreadReservation} from './spread_reservation.js';

/** State of one spread prompt. */
export class SpreadTask {
  phase = SpreadPhase.WAITING;
  reservation: SpreadReservation | undefined;
  retryCount = 0;

  /**
   * @param latestStartMs Latest monotonic time at which the run can start.
   * @param rotation Selects the group of engines; increases with each retry.
   * @param retryAtMs Monotonic time of the first try, later of the next retry.
   */
  constructor(
    readonly id: string,
    readonly model: string,
    readonly tokens: number,
    readonly latestStartMs: number,
    public rotation: number,
    public retryAtMs: number,
  ) {}

  /**
   * Monotonic time at which the task needs its next step.
   *
   * @param isOtherReserving Whether another prompt of this host is reserving.
   */
  findDueTimeMs(isOtherReserving: boolean): number {
    const reservation = this.reservation;
    if (this.phase === SpreadPhase.RUNNING) {
      return reservation?.findLeaseDueTimeMs() ?? Infinity;
    }
    const reservationDueMs =
      reservation?.findDueTimeMs() ??
      (isOtherReserving ? Infinity : this.retryAtMs);
    return Math.min(this.latestStartMs, reservationDueMs);
  }
}
