import {
  type UpstreamWord,
  UpstreamNews as WireNews,
} from '@parsleywood/schema/membership';
import {UpstreamNews} from './upstream_news.js';

const MAX_KEPT_ENTRIES = 512;
const MAX_REPORTS_PER_MESSAGE = 4;
/** Sends of a report for each doubling of the number of members. */
const RETRANSMIT_FACTOR = 3;
const MIN_REPEAT_INTERVAL_MS = 1_000;

/** Gossips reports about upstreams and drops the ones already received. */
export class UpstreamGossip {
  private readonly pending = new Map<
    string,
    {report: UpstreamWord; sendsLeft: number}
  >();
  private readonly seenIds = new Set<string>();
  private readonly lastReportedMs = new Map<string, number>();
  private sequence = 0;

  constructor(private readonly origin: string) {}

  /** Queues a report of this host; returns false if it repeats a recent one. */
  publish(
    upstream: string,
    news: UpstreamNews,
    members: number,
    nowMs: number,
  ): boolean {
    if (!this.registerUnlessRecent(upstream, news, nowMs)) return false;
    const leaving = news === UpstreamNews.LEAVING;
    const wireNews = leaving
      ? WireNews.UPSTREAM_NEWS_LEAVING
      : WireNews.UPSTREAM_NEWS_FAILED;
    const sequence = ++this.sequence;
    this.enqueue(
      {origin: this.origin, sequence, upstream, news: wireNews},
      members,
    );
    return true;
  }

  /** Queues a report from a peer; returns its news unless received before. */
  receive(
    report: UpstreamWord,
    members: number,
    nowMs: number,
  ): UpstreamNews | undefined {
    if (this.seenIds.has(formatId(report))) return undefined;
    this.enqueue(report, members);
    const leaving = report.news === WireNews.UPSTREAM_NEWS_LEAVING;
    const news = leaving ? UpstreamNews.LEAVING : UpstreamNews.FAILED;
    this.registerUnlessRecent(report.upstream, news, nowMs);
    return news;
  }

  /** Returns the reports to include in one message and counts the send. */
  takeForMessage(): UpstreamWord[] {
    const reports: UpstreamWord[] = [];
    for (const [id, entry] of this.pending) {
      if (reports.length === MAX_REPORTS_PER_MESSAGE) break;
      reports.push(entry.report);
      entry.sendsLeft--;
      this.pending.delete(id);
      if (entry.sendsLeft > 0) this.pending.set(id, entry);
    }
    return reports;
  }

  private registerUnlessRecent(
    upstream: string,
    news: string,
    nowMs: number,
  ): boolean {
    const key = `${news} ${upstream}`;
    const reportedMs = this.lastReportedMs.get(key) ?? -Infinity;
    if (nowMs - reportedMs < MIN_REPEAT_INTERVAL_MS) return false;
    this.lastReportedMs.delete(key);
    this.lastReportedMs.set(key, nowMs);
    evictOldest(this.lastReportedMs);
    return true;
  }

  private enqueue(report: UpstreamWord, members: number): void {
    const id = formatId(report);
    this.seenIds.add(id);
    const sendsLeft = RETRANSMIT_FACTOR * Math.ceil(Math.log2(members + 2));
    this.pending.set(id, {report, sendsLeft});
    evictOldest(this.seenIds);
    evictOldest(this.pending);
  }
}

function formatId(report: UpstreamWord): string {
  return `${report.origin} ${report.sequence}`;
}

function evictOldest(entries: Map<string, unknown> | Set<string>): void {
  if (entries.size <= MAX_KEPT_ENTRIES) return;
  for (const oldest of entries.keys()) {
    entries.delete(oldest);
    return;
  }
}
