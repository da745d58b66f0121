import type {PeerStage} from './peer_stage.js';
import type {ReachState} from './reach_state.js';

/** A heartbeat of a host. */
export interface PeerHeartbeat {
  /** IP:port for peer traffic; also identifies the host. */
  readonly peersAddress: string;
  readonly callersAddress: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  readonly stage: PeerStage;
  readonly reach: ReachState;
  /** Position of the store that the sender has applied; epoch 0 if it tells none. */
  readonly epoch: number;
  readonly revision: number;
  /** Version of the configuration in force there; 0 if it tells none. */
  readonly version: number;
  /** Whether the sender hears the receiver of this heartbeat. */
  readonly hearsReceiver: boolean;
  /** Peer addresses of the hosts that the sender hears. */
  readonly knownAddresses: readonly string[];
  /** CPU time available to the sender, in cores. */
  readonly processorShare: number;
  /** Whether the sender asks the receiver to relay messages to it. */
  readonly subscribes: boolean;
  /** Whether the sender relays messages to other hosts. */
  readonly relays: boolean;
  /** Number of hosts that the sender knows; 0 if it is of a version that does not tell. */
  readonly hosts: number;
}
