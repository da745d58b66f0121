import type {Placement} from '@parsleywood/dispatch';

/** Publishes this host's placements and upstream failures to the other hosts. */
export interface UpdatePublisher {
  publishStart(placement: Placement): void;
  publishDecodeStart(id: string): void;
  publishEnd(id: string): void;
  /** @param isSilent Whether the upstream did not answer at all. */
  publishFailure(upstream: string, isSilent: boolean): void;
}
