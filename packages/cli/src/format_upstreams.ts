import {formatCounts} from './format_counts.js';
import {formatTable} from './format_table.js';
import type {SiteStatus} from './site_status.js';

const COLUMN_NAMES = [
  'UPSTREAM',
  'KIND',
  'SERVES',
  'ADDRESS',
  'STATE',
  'IN FLIGHT',
];

/**
 * Formats one row per upstream, with the states that the hosts report for it
 * and its requests in flight summed over the hosts.
 */
export function formatUpstreams(status: SiteStatus): string {
  const entries = status.hosts.flatMap(host => host.upstreams ?? []);
  const names = [...new Set(entries.map(entry => entry.name))].sort();
  const rows = names.map(name => {
    const upstreamEntries = entries.filter(entry => entry.name === name);
    const inFlight = upstreamEntries.reduce(
      (sum, entry) => sum + entry.inFlight,
      0,
    );
    const states = [...new Set(upstreamEntries.map(entry => entry.state))];
    const state =
      states.length === 1
        ? states.join()
        : formatCounts(upstreamEntries.map(entry => entry.state));
    const {kind = '', serves = '', address = ''} = upstreamEntries[0] ?? {};
    return [name, kind, serves, address, state, String(inFlight)];
  });
  return formatTable(COLUMN_NAMES, rows);
}
