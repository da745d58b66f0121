import type {UpstreamEntry} from '@parsleywood/forwarding';
import type {ReservationOutcome} from './reservation_outcome.js';

/** Sets memory of engines aside, as leases that end unless renewed. */
export interface ReservationCalls {
  /** Takes or renews a lease. */
  reserve(
    engine: UpstreamEntry,
    reservation: string,
    tokens: number,
    leaseMs: number,
  ): Promise<ReservationOutcome>;

  /** @return Whether the engine has let it go; false without an answer. */
  release(engine: UpstreamEntry, reservation: string): Promise<boolean>;
}
