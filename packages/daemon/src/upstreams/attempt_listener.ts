import type {AttemptFault, FinishReason, Usage} from '@parsleywood/requests';

/** Hears what an engine says about one attempt. */
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
