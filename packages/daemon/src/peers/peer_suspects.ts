import type {
  SuspectRecords,
  SuspectSummary,
} from '@parsleywood/schema/suspects';
import type {SuspectMessenger} from '../upstreams/suspect_messenger.js';
import type {MessageSender} from './message_sender.js';

/** Sends comparisons of suspects to the peers of a published host list. */
export class PeerSuspects implements SuspectMessenger {
  constructor(private readonly sender: MessageSender) {}

  sendSummary(host: string, summary: SuspectSummary): void {
    this.sender.send(host, {body: {$case: 'suspectSummary', value: summary}});
  }

  sendRecords(host: string, records: SuspectRecords): void {
    this.sender.send(host, {body: {$case: 'suspectRecords', value: records}});
  }
}
