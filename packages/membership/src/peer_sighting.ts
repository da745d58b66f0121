import type {PeerBeat} from './peer_beat.js';

/** A host that was heard, and when. */
export interface RosterPeer {
  readonly beat: PeerBeat;
  readonly heardAtMs: number;
}
