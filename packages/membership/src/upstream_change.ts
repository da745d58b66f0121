import type {UpstreamState} from './upstream_state.js';

/** One upstream's new state. */
export interface UpstreamChange {
  readonly upstream: string;
  readonly state: UpstreamState;
}
