import type {Incarnation} from '@parsleywood/types';

/** Identity of the recording process and the limits of its ring buffer. */
export interface TimelineOptions {
  /** Host and incarnation that each entry names. */
  readonly self: Incarnation;
  readonly maxEvents: number;
  /** Limit for the estimated memory of the buffered events. */
  readonly maxBytes: number;
}
