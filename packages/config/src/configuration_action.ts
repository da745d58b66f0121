import type {ConfigurationMessage} from '@parsleywood/schema/configuration';
import type {HostList} from '@parsleywood/schema/host_list';
import type {Settings} from '@parsleywood/schema/settings';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import type {ConfigurationActionKind} from './configuration_action_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import type {ConfigurationRevision} from './configuration_revision.js';

/** What a configuration ledger asks of its adapter. */
export type ConfigurationAction =
  | {
      /**
       * Wait at the service for a revision above `afterRevision`, `waitMs` at
       * most; answered by one VALUE, UNCHANGED or READ_FAILED.
       */
      readonly kind: ConfigurationActionKind.WATCH;
      readonly key: string;
      readonly afterRevision: number;
      readonly waitMs: number;
    }
  | {
      /** Read at once; answered like a watch. */
      readonly kind: ConfigurationActionKind.READ;
      readonly key: string;
    }
  | {
      readonly kind: ConfigurationActionKind.SEND;
      /** Name of the receiving host. */
      readonly to: string;
      readonly message: ConfigurationMessage;
    }
  | {
      /** From now on these settings are in force. */
      readonly kind: ConfigurationActionKind.IN_FORCE;
      readonly revision: ConfigurationRevision;
      readonly settings: Settings;
    }
  | {
      readonly kind: ConfigurationActionKind.HOSTS;
      readonly revision: number;
      readonly list: HostList;
    }
  | {
      readonly kind: ConfigurationActionKind.UPSTREAMS;
      readonly revision: number;
      readonly list: UpstreamList;
    }
  | {
      /** Tell the operators. */
      readonly kind: ConfigurationActionKind.ALARM;
      readonly problem: ConfigurationProblem;
    };
