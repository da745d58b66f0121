import type {ConfigurationMessage} from '@parsleywood/schema/configuration';
import type {ConfigurationEventKind} from './configuration_event_kind.js';
import type {Member} from './member.js';

/** An input of the configuration logic, reported by its adapter. */
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
      /** Latest revision at the service; 0 when the key has no value there. */
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
      /** The hosts considered alive; may include this host. */
      readonly members: readonly Member[];
    }
  | {readonly kind: ConfigurationEventKind.WAKE};
