/** Why an answer ended. */
export enum EngineFinish {
  /** The answer is complete. */
  STOP = 'stop',
  /** The caller's bound on tokens was reached. */
  LENGTH = 'length',
}
