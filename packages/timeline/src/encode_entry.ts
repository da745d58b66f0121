import type {TimelineEvent} from '@parsleywood/schema/timeline';
import type {TimelineEntry} from './timeline_entry.js';

/** Encodes an entry as a peer message. */
export function encodeEntry(entry: TimelineEntry): TimelineEvent {
  const {timeMs: wallMs, counter, fields, ...rest} = entry;
  return {...rest, fields: {...fields}, time: {wallMs, counter}};
}
