import type {AdmissionRequest} from './admission_request.js';

/** Request that waits in a queue for admission. */
export interface QueuedRequest {
  readonly request: AdmissionRequest;
  readonly queuedMs: number;
  /** Latest monotonic time at which the request may be admitted; refused after it. */
  readonly latestStartMs: number;
  /** Whether the request waits for spare capacity. */
  readonly isBatch: boolean;
  /** Whether the request is no longer queued; queues drop such entries lazily. */
  isDequeued: boolean;
}
