/**
 * Records events with hybrid logical time and merges those of several hosts
 * into causal order.
 */
export {decodeEntry} from './decode_entry.js';
export {encodeEntry} from './encode_entry.js';
export {HybridClock} from './hybrid_clock.js';
export type {HybridTime} from './hybrid_time.js';
export {mergeTimelines} from './merge_timelines.js';
export {Timeline} from './timeline.js';
export type {TimelineEntry} from './timeline_entry.js';
export {TimelineEventName} from './timeline_event_name.js';
export {TimelineField} from './timeline_field.js';
export type {TimelineFields} from './timeline_fields.js';
export type {TimelineOptions} from './timeline_options.js';
export type {TimelineQuery} from './timeline_query.js';
