import {countBy} from './format_counts.js';
import {formatTable} from './format_table.js';
import type {SiteStatus} from './site_status.js';

const HEAD = ['UPSTREAM', 'KIND', 'SERVES', 'ADDRESS', 'STATE', 'IN FLIGHT'];

/** Formats the upstreams of a site, with how each host may use them. */
export function formatUpstreams(status: SiteStatus): string {
  const views = status.hosts.flatMap(host => host.upstreams ?? []);
  const names = [...new Set(views.map(view => view.name))].sort();
  const rows = names.map(name => {
    const seen = views.filter(view => view.name === name);
    const inFlight = seen.reduce((sum, view) => sum + view.inFlight, 0);
    const states = [...new Set(seen.map(view => view.state))];
    const state =
      states.length === 1
        ? states.join()
        : countBy(seen.map(view => view.state));
    const {kind = '', serves = '', address = ''} = seen[0] ?? {};
    return [name, kind, serves, address, state, String(inFlight)];
  });
  return formatTable(HEAD, rows);
}
