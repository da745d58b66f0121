import type {StopCause} from './stop_cause.js';
import type {GatewaySpan} from './gateway_span.js';

/** A time in which a gateway was paused or gone. */
export interface GatewayStop extends GatewaySpan {
  readonly cause: StopCause;
}
