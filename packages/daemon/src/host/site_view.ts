import type {HostList} from '@parsleywood/schema/host_list';
import type {Settings} from '@parsleywood/schema/settings';
import type {
  ListedUpstream,
  UpstreamList,
} from '@parsleywood/schema/upstream_list';
import {Keyring} from './keyring.js';

/** What is in force at this host: settings and lists. */
export class SiteView {
  private settingsInForce: Settings | undefined;
  private keys: Keyring | undefined;
  private hostList: HostList = {hosts: []};
  private upstreams = new Map<string, ListedUpstream>();
  private readonly watchers: ((settings: Settings) => void)[] = [];

  /** Settings in force; undefined until the first ones came. */
  settings(): Settings | undefined {
    return this.settingsInForce;
  }

  keyring(): Keyring | undefined {
    return this.keys;
  }

  hosts(): HostList {
    return this.hostList;
  }

  /** A listed upstream by its name. */
  upstream(name: string): ListedUpstream | undefined {
    return this.upstreams.get(name);
  }

  /** Listed upstreams that serve a model or service. */
  serving(kind: ListedUpstream['kind'], serves: string): ListedUpstream[] {
    return [...this.upstreams.values()].filter(
      upstream => upstream.kind === kind && upstream.serves === serves,
    );
  }

  allUpstreams(): ListedUpstream[] {
    return [...this.upstreams.values()];
  }

  applySettings(settings: Settings): void {
    this.settingsInForce = settings;
    this.keys = new Keyring(settings);
    for (const watcher of this.watchers) watcher(settings);
  }

  /** Calls a watcher with all settings that come into force from now on. */
  watchSettings(watcher: (settings: Settings) => void): void {
    this.watchers.push(watcher);
  }

  applyHosts(list: HostList): void {
    this.hostList = list;
  }

  applyUpstreams(list: UpstreamList): void {
    this.upstreams = new Map(list.upstreams.map(one => [one.name, one]));
  }
}
