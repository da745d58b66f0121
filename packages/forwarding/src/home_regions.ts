import type {DirectoryQuery} from './directory_query.js';
import {normalizeHost} from './normalize_host.js';
import type {Configuration} from './configuration.js';
import type {RouteMatch} from './route_match.js';

/**
 * Regions in which requests may run, and whose hosts callers are told. Load pattern: a
 * region is full or lost, and the upstreams of other regions are free.
 */
export class HomeRegions {
  private readonly byDomain: ReadonlyMap<string, string>;
  private readonly regions: ReadonlySet<string>;
  private configuration: Configuration | undefined;
  private byHostName: ReadonlyMap<string, ReadonlySet<string>> = new Map();

  /** @param regions Region of each failure domain of the site. */
  constructor(regions: Readonly<Record<string, string | undefined>> = {}) {
    this.byDomain = new Map(
      Object.entries(regions).flatMap(([domain, region]) =>
        region === undefined ? [] : [[domain, region]],
      ),
    );
    this.regions = new Set(this.byDomain.values());
  }

  /**
   * Whether an upstream of a failure domain may run a request. One whose domain has no
   * region runs only requests without home regions.
   */
  mayRun({route, account}: RouteMatch, failureDomain: string): boolean {
    const region = this.byDomain.get(failureDomain);
    return [route.homeRegions, account?.homeRegions].every(
      homes =>
        homes === undefined ||
        homes.length === 0 ||
        (region !== undefined && homes.includes(region)),
    );
  }

  /**
   * Selects the hosts that a caller is told: those in a home region of the host name
   * or in the caller's own region, if all its routes have home regions and there are
   * such hosts.
   */
  selectHosts<T extends {readonly failureDomain: string}>(
    hosts: readonly T[],
    configuration: Configuration | undefined,
    {name = '', region, failureDomain = ''}: DirectoryQuery,
  ): readonly T[] {
    const homes = this.findHomes(configuration, normalizeHost(name));
    if (homes === undefined) return hosts;
    const own = region ?? this.byDomain.get(failureDomain);
    const selected = hosts.filter(host => {
      const at = this.byDomain.get(host.failureDomain);
      return at !== undefined && (at === own || homes.has(at));
    });
    return selected.length > 0 ? selected : hosts;
  }

  /** Lists the home regions of a configuration in which no failure domain is. */
  listUnknown({routes, accounts = []}: Configuration): string[] {
    const named = [...routes, ...accounts].flatMap(
      ({homeRegions}) => homeRegions ?? [],
    );
    return [...new Set(named)].filter(region => !this.regions.has(region));
  }

  /** Home regions of all routes of a host name; undefined if one of them has none. */
  private findHomes(
    configuration: Configuration | undefined,
    hostName: string,
  ): ReadonlySet<string> | undefined {
    if (configuration !== this.configuration) {
      this.configuration = configuration;
      this.byHostName = indexHomes(configuration);
    }
    return this.byHostName.get(hostName);
  }
}

function indexHomes(
  configuration: Configuration | undefined,
): ReadonlyMap<string, ReadonlySet<string>> {
  const byHostName = new Map<string, Set<string>>();
  const open = new Set<string>();
  for (const {host, homeRegions = []} of configuration?.routes ?? []) {
    const homes = byHostName.get(host) ?? new Set();
    for (const region of homeRegions) homes.add(region);
    byHostName.set(host, homes);
    if (homeRegions.length === 0) open.add(host);
  }
  for (const host of open) byHostName.delete(host);
  return byHostName;
}
