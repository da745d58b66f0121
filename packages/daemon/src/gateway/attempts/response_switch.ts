import type {AttemptOutcome} from '@parsleywood/forwarding';
import type {ResponseHead} from '../upstreams/response_head.js';
import type {ResponseListener} from './response_listener.js';

/** Passes on the response of one attempt to a listener that may be replaced. */
export class ResponseSwitch implements ResponseListener {
  /** @param observeHead Called first with the head, whoever listens. */
  constructor(
    private listener: ResponseListener,
    private readonly observeHead: (head: ResponseHead) => void,
  ) {}

  /** Directs what is still to come to another listener. */
  direct(listener: ResponseListener): void {
    this.listener = listener;
  }

  onHead(head: ResponseHead): boolean {
    this.observeHead(head);
    return this.listener.onHead(head);
  }

  onData(chunk: Buffer): void {
    this.listener.onData(chunk);
  }

  onEnd(outcome: AttemptOutcome, detail: string): void {
    this.listener.onEnd(outcome, detail);
  }
}
