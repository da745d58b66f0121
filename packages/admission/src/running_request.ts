import type {AdmissionRequest} from './admission_request.js';

/** Admitted request with the monotonic times of its progress. */
export interface RunningRequest {
  readonly request: AdmissionRequest;
  readonly admittedMs: number;
  startedMs?: number;
  firstTokenMs?: number;
}
