import type {Placement} from '@parsleywood/dispatch';

/** Tells the other hosts what this one has done. */
export interface FleetNews {
  tellStart(placement: Placement): void;
  tellWriting(id: string): void;
  tellEnd(id: string): void;
  /** @param isSilent Whether the upstream did not answer at all. */
  tellFailure(upstream: string, isSilent: boolean): void;
}
