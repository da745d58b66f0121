/** Why a gateway was paused or gone. */
export enum StopCause {
  PAUSE = 'pause',
  KILL = 'kill',
  TERMINATION = 'stop',
}
