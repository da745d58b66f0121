import {AttemptOutcome, PieceBuffer} from '@parsleywood/forwarding';
import type {ReceivedPart} from './received_part.js';
import type {ResponseHead} from '../upstreams/response_head.js';
import type {ResponseListener} from './response_listener.js';
import type {SentAttempt} from './sent_attempt.js';
import type {SuspendedPlacement} from './suspended_placement.js';

const SERVER_ERROR_STATUS = 500;

/**
 * An attempt whose upstream fell silent, kept while another one is asked: the silence
 * may be short, and the other one may refuse or fail.
 */
export class HeldAttempt implements ResponseListener {
  private head: ResponseHead | undefined;
  private readonly arrived = new PieceBuffer();
  private end: {outcome: AttemptOutcome; detail: string} | undefined;

  /** @param onChange Called whenever more has arrived, and at the attempt's end. */
  constructor(
    readonly sent: SentAttempt,
    readonly placement: SuspendedPlacement,
    readonly received: ReceivedPart,
    private readonly onChange: () => void,
  ) {
    sent.response.direct(this);
  }

  /** Whether a usable response may still come of the attempt. */
  get isPending(): boolean {
    const {status = 0} = this.head ?? this.received.head ?? {};
    const {outcome = AttemptOutcome.ANSWERED} = this.end ?? {};
    return outcome === AttemptOutcome.ANSWERED && status < SERVER_ERROR_STATUS;
  }

  /** Whether more of a usable response has arrived. */
  get hasProgressed(): boolean {
    const hasMore = this.arrived.length > 0 || this.end !== undefined;
    return hasMore && this.isPending;
  }

  onHead(head: ResponseHead): boolean {
    this.head = head;
    this.onChange();
    return true;
  }

  onData(chunk: Buffer): void {
    this.arrived.append(chunk);
    this.sent.attempt.hold();
    this.onChange();
  }

  onEnd(outcome: AttemptOutcome, detail: string): void {
    this.end = {outcome, detail};
    this.onChange();
  }

  /**
   * Hands over what has arrived, and what is still to come.
   *
   * @param isCurrent Whether the listener still takes the attempt's response.
   */
  replay(listener: ResponseListener, isCurrent: () => boolean): void {
    const {head, arrived, end, sent} = this;
    sent.response.direct(listener);
    sent.attempt.release();
    if (head !== undefined) listener.onHead(head);
    if (arrived.length > 0) listener.onData(arrived.join());
    if (end !== undefined && isCurrent()) {
      listener.onEnd(end.outcome, end.detail);
    }
  }
}
