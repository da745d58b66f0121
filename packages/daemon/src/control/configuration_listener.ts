import type {HostList} from '@parsleywood/schema/host_list';
import type {Settings} from '@parsleywood/schema/settings';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';

/** Is notified of settings and lists that come into force at this host. */
export interface ConfigurationListener {
  onSettings(settings: Settings): void;
  onHosts(list: HostList, revision: number): void;
  onUpstreams(list: UpstreamList, revision: number): void;
}
