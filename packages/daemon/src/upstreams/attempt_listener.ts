import type {AttemptFault, FinishReason, Usage} from '@parsleywood/requests';

/**
 * Receives the events of an attempt's response stream. In `onText` and `onEnd`,
 * `attempt` is the id in the event itself, which the receiver must check.
 */
export interface AttemptListener {
  onAlive(attempt: string): void;
  onText(attempt: string, position: number, text: string): void;
  onEnd(
    attempt: string,
    position: number,
    finish: FinishReason,
    usage: Usage,
  ): void;
  onFault(attempt: string, fault: AttemptFault, detail: string): void;
}
