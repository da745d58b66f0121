import type {TimelineEvent} from '@parsleywood/schema/timeline';
import type {TimelineEntry} from './timeline_entry.js';

/** Decodes a peer message; a missing time decodes as 0. */
export function decodeEntry(event: TimelineEvent): TimelineEntry {
  const {time, ...rest} = event;
  return {...rest, timeMs: time?.wallMs ?? 0, counter: time?.counter ?? 0};
}
