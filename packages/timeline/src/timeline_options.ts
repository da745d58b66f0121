import type {Incarnation} from '@parsleywood/types';

/** What a time line is built from. */
export interface TimelineOptions {
  readonly self: Incarnation;
  readonly maxEvents: number;
  readonly maxBytes: number;
}
