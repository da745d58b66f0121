import type {Failure} from '@parsleywood/errors';

/** Hears whether its request is admitted. */
export interface AdmissionListener {
  onAdmitted(): void;
  onRefused(failure: Failure): void;
}
