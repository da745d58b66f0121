import type {SuspectUpdate} from '@parsleywood/requests';
import type {EventLog} from '../host/event_log.js';
import type {HostMetrics} from '../host/host_metrics.js';
import {shortenHash} from './shorten_hash.js';
import type {SuspectSource} from './suspect_source.js';

/** Logs and counts the changes of crash statuses that a host learns of. */
export class SuspectLog {
  constructor(
    private readonly log: EventLog,
    private readonly metrics: HostMetrics,
  ) {}

  record(
    {fingerprint, traits, crashes, verdict, blocks, blockedMs}: SuspectUpdate,
    source: SuspectSource,
  ): void {
    this.metrics.suspectUpdates.inc({status: verdict, source});
    this.log.info('suspect_updated', {
      fingerprint: shortenHash(fingerprint),
      ...(traits.length > 0 && {traits: traits.map(shortenHash).join(' ')}),
      crashes,
      ...(blocks > 0 && {blocks, blockedMs: Math.ceil(blockedMs)}),
      status: verdict,
      source,
    });
  }
}
