import type {HostStatus} from '@parsleywood/schema/host_status';
import {formatCounts} from './format_counts.js';
import {formatDuration} from './format_duration.js';
import {formatTable} from './format_table.js';
import {formatValue} from './format_value.js';
import type {SiteStatus} from './site_status.js';

const COLUMN_NAMES = [
  'HOST',
  'STATE',
  'IN FLIGHT',
  'QUEUED',
  'REVISION',
  'AGE',
  'UP',
];

/** Formats a site summary, a table of its hosts and the errors per host. */
export function formatStatus(status: SiteStatus): string {
  const {asked, hosts} = status;
  const states = hosts.map(host => host.state);
  const revisions = new Set(hosts.flatMap(formatRevision));
  const upstreams = hosts
    .filter(host => host.name === asked)
    .flatMap(host => host.upstreams ?? [])
    .map(upstream => upstream.state);
  const lines = [
    `asked          ${asked}`,
    `hosts          ${formatCounts(states)}`,
    `upstreams      ${formatCounts(upstreams) || 'none'}`,
    `configuration  ${[...revisions].join(' and ') || 'none'}`,
  ];
  const errors = hosts.flatMap(({name, error}) =>
    error === undefined ? [] : [`${name}: ${error}`],
  );
  const table = formatTable(COLUMN_NAMES, hosts.map(formatHost));
  return [lines.join('\n'), table, ...errors].join('\n\n');
}

function formatRevision(host: HostStatus): string[] {
  const {configuration} = host;
  if (configuration === undefined) return [];
  return [`base ${configuration.base} overlay ${configuration.overlay}`];
}

function formatHost(host: HostStatus): string[] {
  return [
    host.name,
    host.state,
    formatValue(host.inFlight),
    formatValue(host.queued),
    formatRevision(host)[0] ?? formatValue(undefined),
    formatDuration(host.configuration?.ageMs),
    formatDuration(host.upMs),
  ];
}
