import type {AttemptOutcome} from '@parsleywood/forwarding';
import type {ResponseHead} from '../upstreams/response_head.js';

/** Receives the response to one attempt. */
export interface ResponseListener {
  /** Called with the response headers. Returning false aborts the attempt. */
  onHead(head: ResponseHead): boolean;
  onData(chunk: Buffer): void;
  /** The attempt has ended; this is the last call. */
  onEnd(outcome: AttemptOutcome, detail: string): void;
}
