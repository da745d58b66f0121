import {normalizeHost} from './normalize_host.js';
import type {Route} from './route.js';

/** Finds routes by host name and path; the longest prefix wins. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, Route>>();

  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const prefixes = this.byHost.get(route.host) ?? new Map<string, Route>();
      prefixes.set(route.prefix, route);
      this.byHost.set(route.host, prefixes);
    }
  }

  /**
   * Finds the route of a request.
   *
   * @param host Value of the Host header; case and port are ignored.
   * @param target Request target: the path with an optional query.
   */
  find(host: string, target: string): Route | undefined {
    const prefixes = this.byHost.get(normalizeHost(host));
    if (prefixes === undefined) return undefined;
    const path = target.split('?', 1)[0] ?? '';
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const route = prefixes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }
}
