import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {LeavingListener} from './leaving_listener.js';
import type {ReservationOutcome} from './reservation_outcome.js';

/** Reserves engine memory under leases that expire unless renewed. */
export interface EngineReservations {
  /** Acquires or renews a lease. */
  reserve(
    engine: UpstreamEntry,
    reservation: string,
    tokens: number,
    leaseMs: number,
  ): Promise<ReservationOutcome>;

  /**
   * @return Whether the engine responded, and thus holds the reservation no
   *     longer.
   */
  release(engine: UpstreamEntry, reservation: string): Promise<boolean>;

  /** Sets what is called when an engine's response says that it leaves. */
  listenForLeaving(listener: LeavingListener): void;
}
