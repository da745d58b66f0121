import {
  type UpstreamWord,
  UpstreamNews as WireNews,
} from '@parsleywood/schema/membership';
import {UpstreamNews} from './upstream_news.js';

const MAX_KEPT_WORDS = 512;
const MAX_WORDS_A_MESSAGE = 4;
const SENDS_PER_DOUBLING = 3;
const REPEAT_AFTER_MS = 1_000;

/** Spreads what hosts find out about upstreams, each word once. */
export class UpstreamWords {
  private readonly sends = new Map<
    string,
    {word: UpstreamWord; left: number}
  >();
  private readonly seen = new Set<string>();
  private readonly lastToldMs = new Map<string, number>();
  private sequence = 0;

  constructor(private readonly origin: string) {}

  /** Starts to spread own news, unless the same was told a moment ago. */
  tell(
    upstream: string,
    news: UpstreamNews,
    members: number,
    nowMs: number,
  ): boolean {
    if (!this.isNews(upstream, news, nowMs)) return false;
    const leaving = news === UpstreamNews.LEAVING;
    const wireNews = leaving
      ? WireNews.UPSTREAM_NEWS_LEAVING
      : WireNews.UPSTREAM_NEWS_FAILED;
    const sequence = ++this.sequence;
    this.keep(
      {origin: this.origin, sequence, upstream, news: wireNews},
      members,
    );
    return true;
  }

  /** Takes a peer's word; gives its news if it was not heard before. */
  hear(
    word: UpstreamWord,
    members: number,
    nowMs: number,
  ): UpstreamNews | undefined {
    if (this.seen.has(formatId(word))) return undefined;
    this.keep(word, members);
    const leaving = word.news === WireNews.UPSTREAM_NEWS_LEAVING;
    const news = leaving ? UpstreamNews.LEAVING : UpstreamNews.FAILED;
    this.isNews(word.upstream, news, nowMs);
    return news;
  }

  /** Takes the words for one message. */
  take(): UpstreamWord[] {
    const words: UpstreamWord[] = [];
    for (const [id, entry] of this.sends) {
      if (words.length === MAX_WORDS_A_MESSAGE) break;
      words.push(entry.word);
      entry.left--;
      this.sends.delete(id);
      if (entry.left > 0) this.sends.set(id, entry);
    }
    return words;
  }

  private isNews(upstream: string, news: string, nowMs: number): boolean {
    const key = `${news} ${upstream}`;
    const toldMs = this.lastToldMs.get(key) ?? -Infinity;
    if (nowMs - toldMs < REPEAT_AFTER_MS) return false;
    this.lastToldMs.delete(key);
    this.lastToldMs.set(key, nowMs);
    trim(this.lastToldMs);
    return true;
  }

  private keep(word: UpstreamWord, members: number): void {
    const id = formatId(word);
    this.seen.add(id);
    const left = SENDS_PER_DOUBLING * Math.ceil(Math.log2(members + 2));
    this.sends.set(id, {word, left});
    trim(this.seen);
    trim(this.sends);
  }
}

function formatId(word: UpstreamWord): string {
  return `${word.origin} ${word.sequence}`;
}

function trim(kept: Map<string, unknown> | Set<string>): void {
  if (kept.size <= MAX_KEPT_WORDS) return;
  for (const oldest of kept.keys()) {
    kept.delete(oldest);
    return;
  }
}
