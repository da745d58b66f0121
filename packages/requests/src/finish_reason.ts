/** Why the model stopped generating. */
export enum FinishReason {
  /** The model ended the answer. */
  STOP = 'stop',
  /** The answer reached its token limit. */
  LENGTH = 'length',
}
