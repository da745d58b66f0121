import type {PeerHeartbeat} from './peer_heartbeat.js';

/** The latest heartbeat of a host and when it was received. */
export interface PeerSighting {
  readonly beat: PeerHeartbeat;
  readonly heardAtMs: number;
}
