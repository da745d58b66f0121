import type {PeerStage} from './peer_stage.js';

/** A host's sign of life. */
export interface PeerBeat {
  /** IP:port for peers; names the host. */
  readonly peersAddress: string;
  readonly callersAddress: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  readonly stage: PeerStage;
  /** Revision of the store that the host has reached. */
  readonly revision: number;
  /** Whether the host hears this one. */
  readonly hearsReceiver: boolean;
  /** Addresses for peers of the hosts that it hears. */
  readonly knownAddresses: readonly string[];
  /** Processor time that the host may use, in cores. */
  readonly processorShare: number;
  /** Whether it asks this host to pass on what other hosts tell. */
  readonly subscribes: boolean;
  /** Whether it passes on news to other hosts. */
  readonly relays: boolean;
}
