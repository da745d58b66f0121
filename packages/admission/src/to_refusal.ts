import type {ErrorKind} from '@parsleywood/errors';

import type {AdmissionAction} from './admission_action.js';
import {AdmissionActionKind} from './admission_action_kind.js';
import type {AdmissionRequest} from './admission_request.js';

/** Creates the action that refuses a request. */
export function toRefusal(
  {id}: AdmissionRequest,
  error: ErrorKind,
  retryAfterMs: number,
): AdmissionAction {
  return {kind: AdmissionActionKind.REFUSE, id, error, retryAfterMs};
}
