import type {ListedHost} from '@parsleywood/schema/host_list';
import {nameHosts} from './name_hosts.js';
import type {SiteView} from './site_view.js';

const MAX_ACCOUNTS = 20_000;

/** Names the hosts of each account, remembered until hosts change. */
export class HostNaming {
  private readonly named = new Map<string, ListedHost[]>();

  /** @param isUsable Whether this host believes the other one to be up. */
  constructor(
    private readonly site: SiteView,
    private readonly isUsable: (host: string) => boolean,
  ) {}

  /** Hosts that an account uses, in its order of preference. */
  nameFor(account: string): readonly ListedHost[] {
    const known = this.named.get(account);
    if (known !== undefined) return known;
    const {hosts} = this.site.hosts();
    const count = this.site.settings()?.callers.hostsPerAccount ?? 1;
    const named = nameHosts(account, hosts, count, this.isUsable);
    if (this.named.size >= MAX_ACCOUNTS) this.named.clear();
    this.named.set(account, named);
    return named;
  }

  /** Forgets what was named, as hosts or settings changed. */
  forget(): void {
    this.named.clear();
  }
}
