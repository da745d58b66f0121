import type {TimelineField} from './timeline_field.js';

/** The fields of one event. */
export type TimelineFields = Readonly<
  Partial<Record<`${TimelineField}`, string | number>>
>;
