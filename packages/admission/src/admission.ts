import type {Decision} from '@parsleywood/types';

import type {AdmissionAction} from './admission_action.js';
import type {AdmissionEvent} from './admission_event.js';

/** Admits, queues or refuses requests before they are routed. */
export type Admission = Decision<AdmissionEvent, AdmissionAction>;
