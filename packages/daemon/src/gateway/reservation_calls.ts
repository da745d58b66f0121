import type {UpstreamEntry} from '@parsleywood/forwarding';

/** Sets memory of engines aside, as leases that end unless renewed. */
export interface ReservationCalls {
  /**
   * Takes or renews a lease.
   *
   * @return Whether the engine holds it now; false also without an answer.
   */
  reserve(
    engine: UpstreamEntry,
    reservation: string,
    tokens: number,
    leaseMs: number,
  ): Promise<boolean>;

  /** @return Whether the engine has let it go; false without an answer. */
  release(engine: UpstreamEntry, reservation: string): Promise<boolean>;
}
