import type {Placement} from '@parsleywood/dispatch';
import type {ReachState} from '@parsleywood/membership';

/** Publishes to the other hosts what this host places and learns of upstreams. */
export interface UpdatePublisher {
  publishStart(placement: Placement): void;
  publishDecodeStart(id: string): void;
  publishEnd(id: string): void;
  /** @param isSilent Whether the upstream did not answer at all. */
  publishFailure(upstream: string, isSilent: boolean): void;
  /**
   * @param perSecond Requests a second; undefined if the upstream named no limit.
   * @param startedAgoMs Time since the attempt started that it answered.
   */
  publishLimit(
    upstream: string,
    perSecond: number | undefined,
    startedAgoMs: number,
  ): void;
  /** @param bornMs Time of the upstream's start; 0 when it is not known. */
  publishLeaving(upstream: string, bornMs: number): void;
  /** Publishes whether this host reaches upstreams. */
  publishReach(reach: ReachState): void;
}
