import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import TinyQueue from 'tinyqueue';

import {ChoiceKind} from './choice_kind.js';
import type {RoutedRequest} from './routed_request.js';
import type {Router} from './router.js';
import {RouterEventKind} from './router_event_kind.js';

const TOKENS_PER_MS = 20;
/** Longest chunk that an engine prefills at a time. */
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
  left: number;
}

interface Stream {
  readonly perSecond: number;
  readonly fromTokens: number;
  readonly toTokens: number;
}

interface Task {
  readonly atMs: number;
  readonly order: number;
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

/** Engines of fixed rate that prefill chunks by priority, then in turn. */
export class FleetSimulation {
  nowMs = 0;
  /** First-token time by prompt tokens; Infinity for one that had none. */
  readonly times: {tokens: number; ms: number; atMs: number}[] = [];
  /** Choices by reason. */
  readonly reasons = new Map<string, number>();
  private readonly queues: Job[][];
  private readonly running: boolean[];
  private readonly reports: number[];
  private readonly random;
  private order = 0;
  private count = 0;
  private readonly tasks = new TinyQueue<Task>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  constructor(private readonly options: FleetSimulationOptions) {
    this.random = xoroshiro128plus(options.seed);
    const names = Array.from(
      {length: options.engineCount},
      (_, index) => index,
    );
    this.queues = names.map(() => []);
    this.running = names.map(() => false);
    this.reports = names.map(() => 0);
    const upstreams = names.map(index => ({
      name: `engine-${index}`,
      model: 'm',
      memoryTokens: MEMORY_TOKENS,
      leaving: false,
    }));
    for (const router of options.routers) {
      router.observe({kind: RouterEventKind.UPSTREAMS, upstreams}, 0);
    }
    for (const index of names) {
      this.at((index * REPORT_INTERVAL_MS) / names.length, () =>
        this.report(index),
      );
    }
    options.routers.forEach((_, host) => this.at(host, () => this.tell(host)));
    for (const stream of options.streams) this.arrive(stream, 0);
  }

  run(): void {
    for (;;) {
      const next = this.tasks.pop();
      if (!next || next.atMs > this.options.untilMs) break;
      this.nowMs = next.atMs;
      next.run();
    }
  }

  /** First-token time that the part given of the prompts does not exceed. */
  percentile(part: number, minTokens: number, maxTokens: number): number {
    const sorted = this.times
      .filter(({tokens}) => tokens >= minTokens && tokens <= maxTokens)
      .map(({ms}) => ms)
      .sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * part)] ?? NaN;
  }

  private at(atMs: number, run: () => void): void {
    this.tasks.push({atMs, order: this.order++, run});
  }

  private arrive(stream: Stream, atMs: number): void {
    const gapMs =
      (-Math.log(1 - uniformFloat64(this.random)) * 1000) / stream.perSecond;
    this.at(atMs + gapMs, () => {
      this.route(uniformInt(this.random, stream.fromTokens, stream.toTokens));
      this.arrive(stream, this.nowMs);
    });
  }

  private route(promptTokens: number): void {
    const {routers, limitMs} = this.options;
    const host = uniformInt(this.random, 0, routers.length - 1);
    const router = routers[host];
    const request: RoutedRequest = {
      id: `r${this.count++}`,
      account: 'x',
      model: 'm',
      promptTokens,
      answerTokens: 100,
      prefixes: [],
      arrivedMs: this.nowMs,
      deadlineMs: this.nowMs + limitMs,
      avoid: [],
    };
    const choice = router?.choose(request, this.nowMs);
    if (choice?.kind !== ChoiceKind.UPSTREAM) throw new Error('no engine');
    const {upstream, reason, priority, chunkTokens} = choice;
    this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1);
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
    const left = promptTokens;
    this.queues[index]?.push({host, request, chunkTokens, priority, left});
    if (!this.running[index]) this.serve(index);
  }

  /** Prefills one chunk of the first job of the best priority. */
  private serve(index: number): void {
    const queue = this.queues[index] ?? [];
    const best = Math.min(...queue.map(({priority}) => priority));
    const position = queue.findIndex(({priority}) => priority === best);
    const [job] = queue.splice(position, position < 0 ? 0 : 1);
    this.running[index] = job !== undefined;
    if (!job) return;
    const chunk = Math.min(job.left, job.chunkTokens, ENGINE_CHUNK_TOKENS);
    // The chunk counts as queued until it is done.
    queue.unshift(job);
    this.at(this.nowMs + chunk / TOKENS_PER_MS, () => {
      queue.splice(queue.indexOf(job), 1);
      job.left -= chunk;
      if (job.left > 0) queue.push(job);
      else this.finish(job);
      this.serve(index);
    });
  }

  private finish(job: Job): void {
    const {request, host} = job;
    const router = this.options.routers[host];
    const ms = this.nowMs - request.arrivedMs;
    this.times.push({tokens: request.promptTokens, ms, atMs: this.nowMs});
    const attempt = request.id;
    router?.observe({kind: RouterEventKind.FIRST_TOKEN, attempt}, this.nowMs);
    const kind = RouterEventKind.ATTEMPT_ENDED;
    router?.observe({kind, attempt, succeeded: true}, this.nowMs);
  }

  private report(index: number): void {
    const queue = this.queues[index] ?? [];
    const takenAtMs = this.nowMs;
    const tokens = queue.map(({left}) => left);
    const prompts = queue.map(({request}) => request.promptTokens);
    this.reports[index] = (this.reports[index] ?? 0) + 1;
    const event = {
      kind: RouterEventKind.LOAD_REPORT as const,
      upstream: `engine-${index}`,
      incarnation: '1',
      sequence: this.reports[index],
      takenAtMs,
      queuedTokens: tokens.reduce((sum, left) => sum + left, 0),
      decoding: 0,
      usedTokens: 0,
      longestPrefillTokens: Math.max(0, ...prompts),
    };
    this.at(this.nowMs + REPORT_LAG_MS, () => {
      for (const router of this.options.routers) {
        router.observe(event, this.nowMs);
      }
    });
    this.at(this.nowMs + REPORT_INTERVAL_MS, () => this.report(index));
  }

  private tell(host: number): void {
    const {routers} = this.options;
    const demands = routers[host]?.demand(this.nowMs) ?? [];
    routers.forEach((router, other) => {
      if (other === host) return;
      const kind = RouterEventKind.PEER_DEMAND;
      router.observe({kind, host: `host-${host}`, demands}, this.nowMs);
    });
    this.at(this.nowMs + DEMAND_INTERVAL_MS, () => this.tell(host));
  }
}
