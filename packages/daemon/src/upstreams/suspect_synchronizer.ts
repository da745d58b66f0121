import type {
  SuspectRecords,
  SuspectSummary,
} from '@parsleywood/schema/suspects';
import type {SuspectMessenger} from './suspect_messenger.js';
import {SuspectSource} from './suspect_source.js';
import type {SuspectTracker} from './suspect_tracker.js';

/** Interval between comparisons; each is with one peer. */
const COMPARISON_INTERVAL_MS = 600;

/**
 * Compares the suspects of this host with those of its peers, so that a host
 * learns of updates that were lost or sent before it started.
 */
export class SuspectSynchronizer {
  private timer: NodeJS.Timeout | undefined;

  /** @param draw Returns a random number in [0, 1). */
  constructor(
    private readonly tracker: SuspectTracker,
    private readonly messenger: SuspectMessenger,
    private readonly draw: () => number,
  ) {}

  start(): void {
    this.timer = setInterval(() => {
      const peers = this.messenger.listPeers();
      const peer = peers[Math.floor(this.draw() * peers.length)];
      if (peer !== undefined) this.compareWith(peer);
    }, COMPARISON_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Starts a comparison with a peer. */
  compareWith(peer: string): void {
    this.messenger.sendSummary(peer, this.tracker.summarize(false));
  }

  /** Sends a peer what it does not know, and asks for what it knows. */
  handleSummary(peer: string, summary: SuspectSummary): void {
    const own = this.tracker.summarize(true);
    const records = this.tracker.listDifferences(summary);
    if (records.suspects.length > 0) this.messenger.sendRecords(peer, records);
    if (!summary.isReply && !isEqual(own, summary)) {
      this.messenger.sendSummary(peer, own);
    }
  }

  handleRecords({suspects}: SuspectRecords): void {
    for (const suspect of suspects) {
      this.tracker.applyUpdate(suspect, SuspectSource.COMPARISON);
    }
  }
}

function isEqual(left: SuspectSummary, right: SuspectSummary): boolean {
  const buckets = Math.max(left.hashes.length, right.hashes.length);
  for (let at = 0; at < buckets; at++) {
    if ((left.hashes[at] ?? 0) !== (right.hashes[at] ?? 0)) return false;
  }
  return true;
}
