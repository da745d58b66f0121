import type {TimelineField} from './timeline_field.js';

/** Field values of one event; texts are cut to 64 characters when read. */
export type TimelineFields = Readonly<
  Partial<Record<`${TimelineField}`, string | number>>
>;
