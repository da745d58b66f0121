import type {HostStatus} from '@parsleywood/schema/host_status';
import {countBy} from './format_counts.js';
import {formatTable} from './format_table.js';
import {formatValue} from './format_value.js';
import type {SiteStatus} from './site_status.js';

const HEAD = ['HOST', 'STATE', 'DOMAIN', 'CALLERS', 'INCARNATION', 'SEEN AS'];

/** Formats the hosts of a site, with how the other hosts see each. */
export function formatHosts(status: SiteStatus): string {
  const rows = status.hosts.map(host => [
    host.name,
    host.state,
    formatValue(host.failureDomain || undefined),
    formatValue(host.callers || undefined),
    formatValue(host.incarnation || undefined),
    formatViews(host, status),
  ]);
  return formatTable(HEAD, rows);
}

function formatViews(host: HostStatus, status: SiteStatus): string {
  const views = status.hosts
    .flatMap(other => other.members ?? [])
    .filter(member => member.name === host.name)
    .map(member => member.state);
  return formatValue(countBy(views) || undefined);
}
