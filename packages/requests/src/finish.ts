/** Why an answer ended. */
export enum Finish {
  /** The model ended it. */
  STOP = 'stop',
  /** The token limit was reached. */
  LENGTH = 'length',
}
