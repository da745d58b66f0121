import {SpreadPhase} from './spread_phase.js';
import type {SpreadReservation} from './spread_reservation.js';

/** State of one prompt that needs several engines. */
export class SpreadTask {
  phase = SpreadPhase.WAITING;
  reservation: SpreadReservation | undefined;
  retryCount = 0;

  /**
   * @param latestStartMs Last monotonic time for a start.
   * @param rotation Number that moves on to other engines at each try.
   * @param retryAtMs Monotonic time of the next try.
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
   * Monotonic time at which something is due.
   *
   * @param isOtherReserving Whether another prompt of the host is reserving.
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
