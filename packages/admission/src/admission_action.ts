import type {ErrorKind} from '@parsleywood/errors';
import type {LimitMessage} from '@parsleywood/schema/limits';

import type {AdmissionActionKind} from './admission_action_kind.js';

/** Something that an admission asks its adapter to do. */
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
