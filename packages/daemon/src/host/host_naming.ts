import type {ListedHost} from '@parsleywood/schema/host_list';
import {selectHosts} from './select_hosts.js';
import type {SiteView} from './site_view.js';

const MAX_CACHED_ACCOUNTS = 20_000;

/** Names the hosts of each account, remembered until hosts change. */
export class HostNaming {
  private readonly cache = new Map<string, ListedHost[]>();

  /** @param isUsable Whether this host believes the other one to be up. */
  constructor(
    private readonly site: SiteView,
    private readonly isUsable: (host: string) => boolean,
  ) {}

  /** Hosts that an account uses, in its order of preference. */
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

  /** Forgets what was named, as hosts or settings changed. */
  forget(): void {
    this.cache.clear();
  }
}
