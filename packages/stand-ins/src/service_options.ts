/** How a service behaves. */
export interface ServiceOptions {
  /** Port on loopback; any free one when 0. */
  readonly port?: number;
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing?: boolean;
  /** Time that an order takes, in milliseconds. */
  readonly orderMs?: number;
}
