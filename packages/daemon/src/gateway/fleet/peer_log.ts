import type {PeerHeartbeat} from '@parsleywood/membership';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import {TimelineEventName} from '@parsleywood/timeline';
import type {EventLog} from '../../host/event_log.js';
import type {HostTimeline} from '../../host/host_timeline.js';

/** Logs which other hosts are heard and which no longer. */
export class PeerLog {
  constructor(
    private readonly log: EventLog,
    private readonly timeline: HostTimeline,
  ) {}

  /** Logs the differences between two lists of live hosts. */
  record(
    before: readonly PeerHeartbeat[],
    after: readonly PeerHeartbeat[],
  ): void {
    const previous = listAddresses(before);
    const current = listAddresses(after);
    for (const peer of current) {
      if (!previous.has(peer)) this.recordPeer(peer, true);
    }
    for (const peer of previous) {
      if (!current.has(peer)) this.recordPeer(peer, false);
    }
  }

  /** Logs a message that could not be handled; those after it are. */
  recordFault(peer: string, {body}: FleetMessage, error: unknown): void {
    this.log.error('peer_message_failed', {
      peer,
      message: body?.$case,
      reason: error instanceof Error ? error.stack : String(error),
    });
  }

  private recordPeer(peer: string, isHeard: boolean): void {
    if (isHeard) this.log.info('peer_heard', {peer});
    else this.log.warn('peer_lost', {peer});
    const state = isHeard ? 'heard' : 'lost';
    this.timeline.record(TimelineEventName.MEMBER_CHANGED, '', {peer, state});
  }
}

function listAddresses(peers: readonly PeerHeartbeat[]): Set<string> {
  return new Set(peers.map(({peersAddress}) => peersAddress));
}
