import {PeerStage, type PeerHeartbeat} from '@parsleywood/membership';
import {HostStage, type HostBeat} from '@parsleywood/schema/fleet';
import {decodeReach} from './decode_reach.js';

/** Decodes a heartbeat of a host. */
export function decodeHeartbeat(
  beat: HostBeat,
  incarnation: string,
): PeerHeartbeat {
  const {upstreamReach, ...fields} = beat;
  return {
    ...fields,
    incarnation,
    stage: decodeStage(beat.stage),
    reach: decodeReach(upstreamReach),
  };
}

function decodeStage(stage: HostStage): PeerStage {
  if (stage === HostStage.HOST_STAGE_READY) return PeerStage.READY;
  if (stage === HostStage.HOST_STAGE_STOPPING) return PeerStage.STOPPING;
  return PeerStage.STARTING;
}
