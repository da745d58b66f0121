import type {HostStatus} from '@parsleywood/schema/host_status';
import {formatCounts} from './format_counts.js';
import {formatTable} from './format_table.js';
import {formatValue} from './format_value.js';
import type {SiteStatus} from './site_status.js';

const COLUMN_NAMES = [
  'HOST',
  'STATE',
  'DOMAIN',
  'CALLERS',
  'INCARNATION',
  'SEEN AS',
];

/** Formats a table of hosts with the membership states their peers report. */
export function formatHosts(status: SiteStatus): string {
  const rows = status.hosts.map(host => [
    host.name,
    host.state,
    formatValue(host.failureDomain || undefined),
    formatValue(host.callers || undefined),
    formatValue(host.incarnation || undefined),
    formatObservedStates(host, status),
  ]);
  return formatTable(COLUMN_NAMES, rows);
}

function formatObservedStates(host: HostStatus, status: SiteStatus): string {
  const observedStates = status.hosts
    .flatMap(other => other.members ?? [])
    .filter(member => member.name === host.name)
    .map(member => member.state);
  return formatValue(formatCounts(observedStates) || undefined);
}
