import type {Configuration} from './configuration.js';
import {KeyTable} from './key_table.js';
import {RouteTable} from './route_table.js';
import type {Service} from './service.js';

/** A configuration with indexes for looking up routes, keys and services. */
export class SiteRules {
  readonly routes: RouteTable;
  /** Undefined when requests need no API key. */
  readonly keys: KeyTable | undefined;
  private readonly services = new Map<string, Service>();

  constructor(readonly configuration: Configuration) {
    const {routes, accounts, services} = configuration;
    this.routes = new RouteTable(routes);
    this.keys = accounts && new KeyTable(accounts);
    for (const service of services) this.services.set(service.name, service);
  }

  findService(name: string): Service | undefined {
    return this.services.get(name);
  }
}
