import type {ConfigurationMessage} from '@parsleywood/schema/configuration';
import type {HostList} from '@parsleywood/schema/host_list';
import type {Settings} from '@parsleywood/schema/settings';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import type {ConfigurationActionKind} from './configuration_action_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import type {ConfigurationRevision} from './configuration_revision.js';

/** A step that the configuration logic asks its adapter to perform. */
export type ConfigurationAction =
  | {
      /**
       * Long-poll the service for a revision above `afterRevision`, for at most
       * `waitMs`. The adapter replies with one VALUE, UNCHANGED or READ_FAILED.
       */
      readonly kind: ConfigurationActionKind.WATCH;
      readonly key: string;
      readonly afterRevision: number;
      readonly waitMs: number;
    }
  | {
      /** Read the current value. The adapter replies as to a watch. */
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
      /** Use these settings from now on. */
      readonly kind: ConfigurationActionKind.APPLY_SETTINGS;
      readonly revision: ConfigurationRevision;
      readonly settings: Settings;
    }
  | {
      readonly kind: ConfigurationActionKind.APPLY_HOSTS;
      readonly revision: number;
      readonly list: HostList;
    }
  | {
      readonly kind: ConfigurationActionKind.APPLY_UPSTREAMS;
      readonly revision: number;
      readonly list: UpstreamList;
    }
  | {
      /** Report a problem to the operators. */
      readonly kind: ConfigurationActionKind.RAISE_ALARM;
      readonly problem: ConfigurationProblem;
    };
