import type {ConfigurationMessage} from '@parsleywood/schema/configuration';
import type {ConfigurationEventKind} from './configuration_event_kind.js';
import type {Member} from './member.js';

/** What a configuration ledger is told. */
export type ConfigurationEvent =
  | {
      readonly kind: ConfigurationEventKind.VALUE;
      readonly key: string;
      readonly revision: number;
      /** JSON text as published, unparsed. */
      readonly value: string;
    }
  | {
      readonly kind: ConfigurationEventKind.UNCHANGED;
      readonly key: string;
      /** Revision as the service has it; 0 where it holds no value. */
      readonly revision: number;
    }
  | {readonly kind: ConfigurationEventKind.READ_FAILED; readonly key: string}
  | {
      readonly kind: ConfigurationEventKind.MESSAGE;
      /** Name of the sending host. */
      readonly from: string;
      readonly message: ConfigurationMessage;
    }
  | {
      readonly kind: ConfigurationEventKind.MEMBERS;
      /** The hosts believed alive, with or without this one. */
      readonly members: readonly Member[];
    }
  | {readonly kind: ConfigurationEventKind.WAKE};
