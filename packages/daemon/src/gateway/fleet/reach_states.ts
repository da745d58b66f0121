import {ReachState} from '@parsleywood/membership';
import {UpstreamReach} from '@parsleywood/schema/fleet';

/** Reach of a host in messages, by its state. */
export const REACH_STATES: Readonly<Record<ReachState, UpstreamReach>> = {
  [ReachState.UNKNOWN]: UpstreamReach.UPSTREAM_REACH_UNKNOWN,
  [ReachState.REACHED]: UpstreamReach.UPSTREAM_REACH_REACHED,
  [ReachState.CUT_OFF]: UpstreamReach.UPSTREAM_REACH_CUT_OFF,
};
