import type {PeerMessage} from '@parsleywood/schema/peer';
import type {
  TraitAnswerMessage,
  TraitCrashMessage,
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

  publishTraitCrash(value: TraitCrashMessage): void {
    this.sendToAll({body: {$case: 'traitCrash', value}});
  }

  publishTraitAnswer(value: TraitAnswerMessage): void {
    this.sendToAll({body: {$case: 'traitAnswer', value}});
  }

  private sendToAll(message: PeerMessage): void {
    this.transport.sendToAll(this.listHosts(), message);
  }
}
