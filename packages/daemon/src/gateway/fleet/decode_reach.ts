import {ReachState} from '@parsleywood/membership';
import {UpstreamReach} from '@parsleywood/schema/fleet';

/** Decodes what a host tells of its reach. */
export function decodeReach(reach: UpstreamReach): ReachState {
  if (reach === UpstreamReach.UPSTREAM_REACH_REACHED) return ReachState.REACHED;
  if (reach === UpstreamReach.UPSTREAM_REACH_CUT_OFF) return ReachState.CUT_OFF;
  return ReachState.UNKNOWN;
}
