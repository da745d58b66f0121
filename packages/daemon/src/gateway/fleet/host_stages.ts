import {PeerStage} from '@parsleywood/membership';
import {HostStage} from '@parsleywood/schema/fleet';

/** Stage of a host in heartbeats, by its stage. */
export const HOST_STAGES: Readonly<Record<PeerStage, HostStage>> = {
  [PeerStage.STARTING]: HostStage.HOST_STAGE_STARTING,
  [PeerStage.READY]: HostStage.HOST_STAGE_READY,
  [PeerStage.STOPPING]: HostStage.HOST_STAGE_STOPPING,
};
