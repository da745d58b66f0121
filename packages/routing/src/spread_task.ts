import {SpreadPhase} from './spread_phase.js';
import type {SpreadReservation} from './spread_reservation.js';

/** State of one prompt that needs several engines. */
export class SpreadTask {
  phase = SpreadPhase.WAITING;
  reservation: SpreadReservation | undefined;
  tries = 0;

  /**
   * @param latestStartMs Last monotonic time for a start.
   * @param turn Number that moves on to other engines at each try.
   * @param retryAtMs Monotonic time of the next try.
   */
  constructor(
    readonly id: string,
    readonly model: string,
    readonly tokens: number,
    readonly latestStartMs: number,
    public turn: number,
    public retryAtMs: number,
  ) {}

  /**
   * Monotonic time at which something is due.
   *
   * @param isBusy Whether another prompt of the host is reserving.
   */
  dueAtMs(isBusy: boolean): number {
    const reservation = this.reservation;
    if (this.phase === SpreadPhase.RUNNING) {
      return reservation?.holdDueAtMs() ?? Infinity;
    }
    const tryMs =
      reservation?.dueAtMs() ?? (isBusy ? Infinity : this.retryAtMs);
    return Math.min(this.latestStartMs, tryMs);
  }
}
