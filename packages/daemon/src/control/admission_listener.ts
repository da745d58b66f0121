import type {Failure} from '@parsleywood/errors';

/** Is notified once whether a request is admitted or refused. */
export interface AdmissionListener {
  onAdmitted(): void;
  onRefused(failure: Failure): void;
}
