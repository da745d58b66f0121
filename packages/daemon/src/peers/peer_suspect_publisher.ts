import type {PeerMessage} from '@parsleywood/schema/peer';
import type {
  PartAnswerMessage,
  PartCrashMessage,
  SuspectMessage,
} from '@parsleywood/schema/suspects';
import type {SuspectPublisher} from '../upstreams/suspect_publisher.js';
import type {PeerTransport} from './peer_transport.js';

/** Sends what is learned of crashing requests to the hosts of a published list. */
export class PeerSuspectPublisher implements SuspectPublisher {
  /** @param listHosts Returns the names of the listed hosts. */
  constructor(
    private readonly transport: PeerTransport,
    private readonly listHosts: () => string[],
  ) {}

  publishSuspect(value: SuspectMessage): void {
    this.sendToAll({body: {$case: 'suspect', value}});
  }

  publishPartCrash(value: PartCrashMessage): void {
    this.sendToAll({body: {$case: 'partCrash', value}});
  }

  publishPartAnswer(value: PartAnswerMessage): void {
    this.sendToAll({body: {$case: 'partAnswer', value}});
  }

  private sendToAll(message: PeerMessage): void {
    this.transport.sendToAll(this.listHosts(), message);
  }
}
