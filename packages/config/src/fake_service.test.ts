import type {PublishedValue} from '@parsleywood/schema/configuration';
import {
  ConfigurationEventKind as Kind,
  type ConfigurationEvent,
} from './index.js';
import type {EventQueue} from './event_queue.test.js';

const LATENCY_MS = 5;
const ERROR_LATENCY_MS = 20;

/** A configuration service on virtual time, with faults and stale reads. */
export class FakeService {
  private readonly published: PublishedValue[] = [];
  private readonly watches: {
    key: string;
    after: number;
    host: string;
    answer: () => void;
  }[] = [];
  private revision = 0;
  /** Times of all calls, in ascending order. */
  readonly calls: number[] = [];
  /** Whether the service answers a host. */
  isUp: (host: string) => boolean = () => true;
  /** Whether a call of a host gets no answer at all. */
  hangs: (host: string) => boolean = () => false;
  /** Time between reading a value and delivering the answer. */
  latencyMs = LATENCY_MS;
  /** The highest revision that a host can read; lower it for stale reads. */
  maxRevision: (host: string) => number = () => Infinity;

  constructor(private readonly queue: EventQueue) {}

  /** Ends all faults. */
  clearFaults(): void {
    this.isUp = () => true;
    this.hangs = () => false;
    this.maxRevision = () => Infinity;
    this.latencyMs = LATENCY_MS;
    this.answerDueWatches();
  }

  /** Publishes a value and returns its revision. */
  publish(key: string, text: string): number {
    this.published.push({key, revision: ++this.revision, text});
    this.answerDueWatches();
    return this.revision;
  }

  /** Answers the watches for which a newer revision is visible. */
  answerDueWatches(): void {
    for (const watch of this.watches.splice(0)) {
      const value = this.findLatest(watch.key, watch.host);
      const isDue =
        this.isUp(watch.host) && (value?.revision ?? 0) > watch.after;
      if (isDue) watch.answer();
      else this.watches.push(watch);
    }
  }

  call(
    host: string,
    key: string,
    after: number,
    waitMs: number,
    reply: (event: ConfigurationEvent) => void,
  ): void {
    this.calls.push(this.queue.nowMs);
    if (this.hangs(host)) return;
    let isAnswered = false;
    const answer = () => {
      if (isAnswered) return;
      isAnswered = true;
      const event = this.createAnswer(host, key, after);
      const atMs = this.queue.nowMs + this.latencyMs;
      this.queue.push(atMs, () => reply(event));
    };
    const {nowMs} = this.queue;
    if (!this.isUp(host)) this.queue.push(nowMs + ERROR_LATENCY_MS, answer);
    else if ((this.findLatest(key, host)?.revision ?? 0) > after) answer();
    else if (waitMs === 0) answer();
    else {
      this.watches.push({key, after, host, answer});
      this.queue.push(nowMs + waitMs, answer);
    }
  }

  /** The highest number of calls within any window of the given length. */
  countPeakCalls(windowMs: number, fromMs = 0): number {
    const times = this.calls.filter(time => time >= fromMs);
    let [peak, first] = [0, 0];
    for (const [last, time] of times.entries()) {
      while (time - times[first]! >= windowMs) first++;
      peak = Math.max(peak, last - first + 1);
    }
    return peak;
  }

  private createAnswer(
    host: string,
    key: string,
    after: number,
  ): ConfigurationEvent {
    if (!this.isUp(host)) return {kind: Kind.READ_FAILED, key};
    const value = this.findLatest(key, host);
    if (!value || value.revision <= after) {
      return {kind: Kind.UNCHANGED, key, revision: value?.revision ?? 0};
    }
    const {revision, text} = value;
    return {kind: Kind.VALUE, key, revision, value: text};
  }

  private findLatest(key: string, host: string): PublishedValue | undefined {
    const limit = this.maxRevision(host);
    return this.published.findLast(
      value => value.key === key && value.revision <= limit,
    );
  }
}
