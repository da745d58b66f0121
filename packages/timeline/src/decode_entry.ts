import type {TimelineEvent} from '@parsleywood/schema/timeline';
import type {TimelineEntry} from './timeline_entry.js';

/** Decodes the message between hosts into an entry. */
export function decodeEntry(event: TimelineEvent): TimelineEntry {
  const {time, ...rest} = event;
  return {...rest, timeMs: time?.wallMs ?? 0, counter: time?.counter ?? 0};
}
