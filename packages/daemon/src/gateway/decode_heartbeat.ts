import {PeerStage, type PeerHeartbeat} from '@parsleywood/membership';
import {HostStage, type HostBeat} from '@parsleywood/schema/fleet';

/** Decodes a heartbeat of a host. */
export function decodeHeartbeat(
  beat: HostBeat,
  incarnation: string,
): PeerHeartbeat {
  return {...beat, incarnation, stage: decodeStage(beat.stage)};
}

function decodeStage(stage: HostStage): PeerStage {
  if (stage === HostStage.HOST_STAGE_READY) return PeerStage.READY;
  if (stage === HostStage.HOST_STAGE_STOPPING) return PeerStage.STOPPING;
  return PeerStage.STARTING;
}
