import type {Placement} from '@parsleywood/dispatch';

/** Tells the other hosts what this one has done. */
export interface FleetNews {
  tellStart(placement: Placement): void;
  tellWriting(id: string): void;
  tellEnd(id: string): void;
  tellFailure(upstream: string): void;
}
