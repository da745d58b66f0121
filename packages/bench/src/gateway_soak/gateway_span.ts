/** A time in which something happened to a gateway. */
export interface GatewaySpan {
  readonly gateway: number;
  readonly fromMs: number;
  readonly untilMs: number;
}
