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
  private hasComparedOnce = false;
  /** Monotonic time of the last comparison that a peer's hash started. */
  private readonly comparedAtMs = new Map<string, number>();

  constructor(
    private readonly tracker: SuspectTracker,
    private readonly messenger: SuspectMessenger,
  ) {}

  /**
   * Starts regular comparisons, which are needed where heartbeats carry no hash.
   *
   * @param draw Returns a random number in [0, 1).
   */
  start(listPeers: () => readonly string[], draw: () => number): void {
    this.timer = setInterval(() => {
      const peers = listPeers();
      const peer = peers[Math.floor(draw() * peers.length)];
      if (peer !== undefined) this.compareWith(peer);
    }, COMPARISON_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  /** Whether this host knew at some time all that a peer knew. */
  get hasCompared(): boolean {
    return this.hasComparedOnce;
  }

  /** Hash of all suspects, which heartbeats carry. */
  computeHash(): number {
    return this.tracker.computeHash();
  }

  /** Starts a comparison with a peer that reports another hash than this host. */
  handleHash(peer: string, hash: number, nowMs: number): void {
    if (hash === this.tracker.computeHash()) return;
    const lastMs = this.comparedAtMs.get(peer) ?? -Infinity;
    if (nowMs - lastMs < COMPARISON_INTERVAL_MS) return;
    this.comparedAtMs.set(peer, nowMs);
    this.compareWith(peer);
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
    if (isEqual(own, summary)) this.hasComparedOnce = true;
    if (!summary.isReply) this.messenger.sendSummary(peer, own);
  }

  handleRecords({suspects}: SuspectRecords): void {
    for (const suspect of suspects) {
      this.tracker.applyUpdate(suspect, SuspectSource.COMPARISON);
    }
    this.hasComparedOnce = true;
  }
}

function isEqual(left: SuspectSummary, right: SuspectSummary): boolean {
  const buckets = Math.max(left.hashes.length, right.hashes.length);
  for (let at = 0; at < buckets; at++) {
    if ((left.hashes[at] ?? 0) !== (right.hashes[at] ?? 0)) return false;
  }
  return true;
}
