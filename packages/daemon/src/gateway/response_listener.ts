import type {AttemptEnd} from '@parsleywood/forwarding';
import type {AnswerHead} from './response_head.js';

/** Hears of one attempt until its end. */
export interface AttemptWatcher {
  /** Headers came; false ends the attempt as broken. */
  onHead(head: AnswerHead): boolean;
  onData(chunk: Buffer): void;
  /** The attempt is over; nothing more is heard of it. */
  onEnd(end: AttemptEnd, detail: string): void;
}
