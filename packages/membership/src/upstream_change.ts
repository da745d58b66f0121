import type {UpstreamState} from './upstream_state.js';

/** A state change of an upstream. */
export interface UpstreamChange {
  readonly upstream: string;
  readonly state: UpstreamState;
}
