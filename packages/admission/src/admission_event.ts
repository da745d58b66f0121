import type {LimitMessage} from '@parsleywood/schema/limits';

import type {AdmissionEventKind} from './admission_event_kind.js';
import type {AdmissionRequest} from './admission_request.js';
import type {AdmissionSettings} from './admission_settings.js';

/** Input of an {@link Admission}. */
export type AdmissionEvent =
  | ({readonly kind: AdmissionEventKind.REQUESTED} & AdmissionRequest)
  | {readonly kind: AdmissionEventKind.STARTED; readonly id: string}
  | {readonly kind: AdmissionEventKind.FIRST_TOKEN; readonly id: string}
  | {
      readonly kind: AdmissionEventKind.FINISHED;
      readonly id: string;
      /** Whether the answer was complete. */
      readonly succeeded: boolean;
      /** Prompt and answer tokens used, where the engine reports them. */
      readonly tokens?: number;
    }
  | {readonly kind: AdmissionEventKind.CANCELLED; readonly id: string}
  | {
      readonly kind: AdmissionEventKind.SETTINGS;
      readonly settings: AdmissionSettings;
    }
  | {
      readonly kind: AdmissionEventKind.PEERS;
      readonly hosts: readonly string[];
    }
  | {
      readonly kind: AdmissionEventKind.LIMIT_MESSAGE;
      readonly from: string;
      readonly message: LimitMessage;
    }
  | {readonly kind: AdmissionEventKind.WAKE};
