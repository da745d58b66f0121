import type {ErrorKind} from '@parsleywood/errors';
import type {LimitMessage} from '@parsleywood/schema/limits';

import type {AdmissionActionKind} from './admission_action_kind.js';

/** Output of an {@link Admission}, to be carried out by its adapter. */
export type AdmissionAction =
  | {readonly kind: AdmissionActionKind.ADMIT; readonly id: string}
  | {
      readonly kind: AdmissionActionKind.REFUSE;
      readonly id: string;
      readonly error: ErrorKind;
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: AdmissionActionKind.SEND;
      readonly to: string;
      readonly message: LimitMessage;
    };
