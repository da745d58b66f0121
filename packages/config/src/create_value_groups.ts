import {checkHostList} from './check_host_list.js';
import {checkUpstreamList} from './check_upstream_list.js';
import {ConfigurationActionKind} from './configuration_action_kind.js';
import {ListGroup} from './list_group.js';
import {SettingsGroup} from './settings_group.js';
import type {ValueGroup} from './value_group.js';

/**
 * Lists the value groups that a host of a site follows, in activation order.
 */
export function createValueGroups(site: string): ValueGroup[] {
  return [
    new ListGroup(`hosts/${site}`, true, checkHostList, (revision, list) => ({
      kind: ConfigurationActionKind.APPLY_HOSTS,
      revision,
      list,
    })),
    new SettingsGroup(site),
    new ListGroup(
      `upstreams/${site}`,
      false,
      checkUpstreamList,
      (revision, list) => ({
        kind: ConfigurationActionKind.APPLY_UPSTREAMS,
        revision,
        list,
      }),
    ),
  ];
}
