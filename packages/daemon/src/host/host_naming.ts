import type {ListedHost} from '@parsleywood/schema/host_list';
import {selectHosts} from './select_hosts.js';
import type {SiteView} from './site_view.js';

const MAX_CACHED_ACCOUNTS = 20_000;

/** Selects the hosts of each account; caches them until `forget()` is called. */
export class HostNaming {
  private readonly cache = new Map<string, ListedHost[]>();

  /** @param isUsable Whether this host considers the given host up and ready. */
  constructor(
    private readonly site: SiteView,
    private readonly isUsable: (host: string) => boolean,
  ) {}

  /** Hosts that an account's clients should use, most preferred first. */
  nameFor(account: string): readonly ListedHost[] {
    const cached = this.cache.get(account);
    if (cached !== undefined) return cached;
    const {hosts} = this.site.hosts();
    const count = this.site.settings()?.callers.hostsPerAccount ?? 1;
    const selected = selectHosts(account, hosts, count, this.isUsable);
    if (this.cache.size >= MAX_CACHED_ACCOUNTS) this.cache.clear();
    this.cache.set(account, selected);
    return selected;
  }

  /** Clears the cache; must be called when hosts, their health or the settings change. */
  forget(): void {
    this.cache.clear();
  }
}
