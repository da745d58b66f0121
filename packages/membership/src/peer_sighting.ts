import type {PeerBeat} from './peer_heartbeat.js';

/** The latest heartbeat of a host and when it was received. */
export interface PeerSighting {
  readonly beat: PeerBeat;
  readonly heardAtMs: number;
}
