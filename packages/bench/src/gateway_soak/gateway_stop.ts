/** A time in which a gateway was paused or gone. */
export interface GatewayStop {
  readonly gateway: number;
  readonly fromMs: number;
  readonly untilMs: number;
}
