import type {UpstreamPace} from '@parsleywood/dispatch';
import type {GatewayContext} from '../gateway_context.js';

/** A context whose choices leave the state of the host as it is. */
export interface StillContext extends GatewayContext {
  /** Slow start, as the next placement finds it. */
  readonly pace: UpstreamPace;
}
