import type {HostList} from '@parsleywood/schema/host_list';
import type {Settings} from '@parsleywood/schema/settings';
import type {
  ListedUpstream,
  UpstreamList,
} from '@parsleywood/schema/upstream_list';
import {Keyring} from './keyring.js';

/** Settings, host list and upstream list that this host currently applies. */
export class SiteView {
  private currentSettings: Settings | undefined;
  private currentKeyring: Keyring | undefined;
  private hostList: HostList = {hosts: []};
  private upstreams = new Map<string, ListedUpstream>();
  private readonly settingsListeners: ((settings: Settings) => void)[] = [];

  /** Current settings; undefined until the first ones are received. */
  settings(): Settings | undefined {
    return this.currentSettings;
  }

  keyring(): Keyring | undefined {
    return this.currentKeyring;
  }

  hosts(): HostList {
    return this.hostList;
  }

  /** Listed upstream of the given name. */
  upstream(name: string): ListedUpstream | undefined {
    return this.upstreams.get(name);
  }

  /** Listed upstreams that serve the given model or service. */
  serving(kind: ListedUpstream['kind'], serves: string): ListedUpstream[] {
    return [...this.upstreams.values()].filter(
      upstream => upstream.kind === kind && upstream.serves === serves,
    );
  }

  allUpstreams(): ListedUpstream[] {
    return [...this.upstreams.values()];
  }

  applySettings(settings: Settings): void {
    this.currentSettings = settings;
    this.currentKeyring = new Keyring(settings);
    for (const listener of this.settingsListeners) listener(settings);
  }

  /** Calls the listener for each later settings update; not for the current settings. */
  watchSettings(listener: (settings: Settings) => void): void {
    this.settingsListeners.push(listener);
  }

  applyHosts(list: HostList): void {
    this.hostList = list;
  }

  applyUpstreams(list: UpstreamList): void {
    this.upstreams = new Map(
      list.upstreams.map(upstream => [upstream.name, upstream]),
    );
  }
}
