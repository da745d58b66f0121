import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import TinyQueue from 'tinyqueue';

import {ChoiceKind} from './choice_kind.js';
import type {RoutedRequest} from './routed_request.js';
import type {Router} from './router.js';
import {RouterEventKind} from './router_event_kind.js';

const TOKENS_PER_MS = 20;
/** Maximum number of tokens that an engine prefills in one chunk. */
const ENGINE_CHUNK_TOKENS = 2048;
const REPORT_INTERVAL_MS = 500;
const REPORT_LAG_MS = 100;
const DEMAND_INTERVAL_MS = 1000;
const MEMORY_TOKENS = 2_000_000;

interface Job {
  readonly host: number;
  readonly request: RoutedRequest;
  readonly chunkTokens: number;
  priority: number;
  remainingTokens: number;
}

interface Stream {
  readonly perSecond: number;
  readonly fromTokens: number;
  readonly toTokens: number;
}

interface ScheduledTask {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

interface FleetSimulationOptions {
  readonly routers: readonly Router[];
  readonly engineCount: number;
  readonly streams: readonly Stream[];
  readonly untilMs: number;
  readonly seed: number;
  readonly limitMs: number;
}

/**
 * Simulates hosts and engines on virtual time. The engines prefill at a fixed
 * rate, in chunks, by priority and then in round-robin order.
 */
export class FleetSimulation {
  nowMs = 0;
  /**
   * Time to first token of each finished prompt, with its size and the virtual
   * time.
   */
  readonly firstTokenTimes: {tokens: number; ms: number; atMs: number}[] = [];
  /** Number of choices by reason. */
  readonly choiceCountByReason = new Map<string, number>();
  private readonly queues: Job[][];
  private readonly running: boolean[];
  private readonly reportSequences: number[];
  private readonly random;
  private scheduledCount = 0;
  private requestCount = 0;
  private readonly tasks = new TinyQueue<ScheduledTask>(
    [],
    (a, b) => a.atMs - b.atMs || a.sequence - b.sequence,
  );

  constructor(private readonly options: FleetSimulationOptions) {
    this.random = xoroshiro128plus(options.seed);
    const indexes = Array.from(
      {length: options.engineCount},
      (_, index) => index,
    );
    this.queues = indexes.map(() => []);
    this.running = indexes.map(() => false);
    this.reportSequences = indexes.map(() => 0);
    const upstreams = indexes.map(index => ({
      name: `engine-${index}`,
      model: 'm',
      memoryTokens: MEMORY_TOKENS,
      leaving: false,
    }));
    for (const router of options.routers) {
      router.observe({kind: RouterEventKind.UPSTREAMS, upstreams}, 0);
    }
    for (const index of indexes) {
      this.schedule((index * REPORT_INTERVAL_MS) / indexes.length, () =>
        this.sendReport(index),
      );
    }
    options.routers.forEach((_, host) =>
      this.schedule(host, () => this.sendDemand(host)),
    );
    for (const stream of options.streams) this.scheduleArrival(stream, 0);
  }

  run(): void {
    for (;;) {
      const next = this.tasks.pop();
      if (!next || next.atMs > this.options.untilMs) break;
      this.nowMs = next.atMs;
      next.run();
    }
  }

  /**
   * Percentile, given as a fraction, of the time to first token of prompts of
   * the given sizes.
   */
  percentile(fraction: number, minTokens: number, maxTokens: number): number {
    const sorted = this.firstTokenTimes
      .filter(({tokens}) => tokens >= minTokens && tokens <= maxTokens)
      .map(({ms}) => ms)
      .sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * fraction)] ?? NaN;
  }

  private schedule(atMs: number, run: () => void): void {
    this.tasks.push({atMs, sequence: this.scheduledCount++, run});
  }

  private scheduleArrival(stream: Stream, atMs: number): void {
    const gapMs =
      (-Math.log(1 - uniformFloat64(this.random)) * 1000) / stream.perSecond;
    this.schedule(atMs + gapMs, () => {
      this.route(uniformInt(this.random, stream.fromTokens, stream.toTokens));
      this.scheduleArrival(stream, this.nowMs);
    });
  }

  private route(promptTokens: number): void {
    const {routers, limitMs} = this.options;
    const host = uniformInt(this.random, 0, routers.length - 1);
    const router = routers[host];
    const request: RoutedRequest = {
      id: `r${this.requestCount++}`,
      account: 'x',
      model: 'm',
      promptTokens,
      answerTokens: 100,
      prefixes: [],
      arrivedMs: this.nowMs,
      deadlineMs: this.nowMs + limitMs,
      excludedUpstreams: [],
    };
    const choice = router?.choose(request, this.nowMs);
    if (choice?.kind !== ChoiceKind.UPSTREAM) throw new Error('no engine');
    const {upstream, reason, priority, chunkTokens} = choice;
    this.choiceCountByReason.set(
      reason,
      (this.choiceCountByReason.get(reason) ?? 0) + 1,
    );
    router?.observe(
      {
        kind: RouterEventKind.ATTEMPT_STARTED,
        attempt: request.id,
        upstream,
        request,
        cachedTokens: 0,
      },
      this.nowMs,
    );
    const index = Number(upstream.slice('engine-'.length));
    const remainingTokens = promptTokens;
    this.queues[index]?.push({
      host,
      request,
      chunkTokens,
      priority,
      remainingTokens,
    });
    if (!this.running[index]) this.prefillChunk(index);
  }

  /** Prefills one chunk of the first job with the lowest priority number. */
  private prefillChunk(index: number): void {
    const queue = this.queues[index] ?? [];
    const best = Math.min(...queue.map(({priority}) => priority));
    const position = queue.findIndex(({priority}) => priority === best);
    const [job] = queue.splice(position, position < 0 ? 0 : 1);
    this.running[index] = job !== undefined;
    if (!job) return;
    const chunk = Math.min(
      job.remainingTokens,
      job.chunkTokens,
      ENGINE_CHUNK_TOKENS,
    );
    // The chunk counts as queued until its prefill is finished.
    queue.unshift(job);
    this.schedule(this.nowMs + chunk / TOKENS_PER_MS, () => {
      queue.splice(queue.indexOf(job), 1);
      job.remainingTokens -= chunk;
      if (job.remainingTokens > 0) queue.push(job);
      else this.finish(job);
      this.prefillChunk(index);
    });
  }

  private finish(job: Job): void {
    const {request, host} = job;
    const router = this.options.routers[host];
    const ms = this.nowMs - request.arrivedMs;
    this.firstTokenTimes.push({
      tokens: request.promptTokens,
      ms,
      atMs: this.nowMs,
    });
    const attempt = request.id;
    router?.observe({kind: RouterEventKind.FIRST_TOKEN, attempt}, this.nowMs);
    const kind = RouterEventKind.ATTEMPT_ENDED;
    router?.observe({kind, attempt, succeeded: true}, this.nowMs);
  }

  private sendReport(index: number): void {
    const queue = this.queues[index] ?? [];
    const takenAtMs = this.nowMs;
    const tokens = queue.map(({remainingTokens}) => remainingTokens);
    const prompts = queue.map(({request}) => request.promptTokens);
    this.reportSequences[index] = (this.reportSequences[index] ?? 0) + 1;
    const event = {
      kind: RouterEventKind.LOAD_REPORT as const,
      upstream: `engine-${index}`,
      incarnation: '1',
      sequence: this.reportSequences[index],
      takenAtMs,
      queuedTokens: tokens.reduce((sum, count) => sum + count, 0),
      decoding: 0,
      usedTokens: 0,
      longestPrefillTokens: Math.max(0, ...prompts),
    };
    this.schedule(this.nowMs + REPORT_LAG_MS, () => {
      for (const router of this.options.routers) {
        router.observe(event, this.nowMs);
      }
    });
    this.schedule(this.nowMs + REPORT_INTERVAL_MS, () =>
      this.sendReport(index),
    );
  }

  private sendDemand(host: number): void {
    const {routers} = this.options;
    const demands = routers[host]?.getDemand(this.nowMs) ?? [];
    routers.forEach((router, other) => {
      if (other === host) return;
      const kind = RouterEventKind.PEER_DEMAND;
      router.observe({kind, host: `host-${host}`, demands}, this.nowMs);
    });
    this.schedule(this.nowMs + DEMAND_INTERVAL_MS, () => this.sendDemand(host));
  }
}
