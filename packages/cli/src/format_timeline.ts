import type {TimelineEntry} from '@parsleywood/timeline';
import {formatTable} from './format_table.js';
import {formatValue} from './format_value.js';

const COLUMN_NAMES = ['TIME', 'HOST', 'EVENT', 'REQUEST', 'FIELDS'];

/** Formats a table of events and keeps their order. */
export function formatTimeline(events: readonly TimelineEntry[]): string {
  const rows = events.map(event => [
    new Date(event.timeMs).toISOString(),
    event.host,
    event.name,
    formatValue(event.requestId || undefined),
    Object.entries(event.fields)
      .map(([name, value]) => `${name}=${value}`)
      .join(' '),
  ]);
  return formatTable(COLUMN_NAMES, rows);
}
