import type {Decision} from '@parsleywood/types';
import TinyQueue from 'tinyqueue';

import type {SpreadAction} from './spread_action.js';
import {SpreadActionKind} from './spread_action_kind.js';
import type {SpreadEvent} from './spread_event.js';
import {SpreadEventKind} from './spread_event_kind.js';

interface SpreadSimulationOptions {
  readonly hosts: ReadonlyMap<string, Decision<SpreadEvent, SpreadAction>>;
  readonly engines: readonly string[];
  readonly memoryTokens: number;
  readonly runMs: number;
  /** Delay of a message in milliseconds; undefined when it is lost. */
  readonly travel: () => number | undefined;
}

interface Hold {
  readonly tokens: number;
  untilMs: number;
}

interface Task {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Hosts and engines on virtual time, with losses, deaths and pauses. */
export class SpreadSimulation {
  nowMs = 0;
  /** Monotonic time of the end of each prompt, by name, and how it ended. */
  readonly ends = new Map<string, {atMs: number; kind: string}>();
  readonly faults: string[] = [];
  /** Engines that restarted; their holds ended without a word. */
  private readonly crashed = new Set<string>();
  private readonly memory: Map<string, Map<string, Hold>>;
  private readonly dead = new Set<string>();
  private readonly pausedUntilMs = new Map<string, number>();
  private readonly wakes = new Map<string, number>();
  private order = 0;
  private readonly tasks = new TinyQueue<Task>(
    [],
    (a, b) => a.atMs - b.atMs || a.order - b.order,
  );

  constructor(private readonly options: SpreadSimulationOptions) {
    this.memory = new Map(options.engines.map(name => [name, new Map()]));
    const engines = options.engines.map(name => ({
      name,
      model: 'm',
      memoryTokens: options.memoryTokens,
    }));
    for (const host of options.hosts.keys()) {
      this.at(0, () =>
        this.tell(host, {kind: SpreadEventKind.ENGINES, engines}),
      );
    }
  }

  at(atMs: number, run: () => void): void {
    this.tasks.push({atMs, order: this.order++, run});
  }

  need(
    atMs: number,
    host: string,
    id: string,
    tokens: number,
    limitMs: number,
  ) {
    const latestStartMs = atMs + limitMs;
    const kind = SpreadEventKind.NEEDED;
    this.at(atMs, () =>
      this.tell(host, {kind, id, model: 'm', tokens, latestStartMs}),
    );
  }

  kill(atMs: number, host: string): void {
    this.at(atMs, () => this.dead.add(host));
  }

  pause(atMs: number, host: string, forMs: number): void {
    this.at(atMs, () => this.pausedUntilMs.set(host, atMs + forMs));
  }

  /** Restarts an engine empty. */
  crash(atMs: number, engine: string): void {
    this.at(atMs, () => {
      this.crashed.add(engine);
      this.memory.get(engine)?.clear();
    });
  }

  run(untilMs: number): void {
    for (;;) {
      const next = this.tasks.peek();
      if (!next || next.atMs > untilMs) break;
      this.tasks.pop();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = untilMs;
  }

  /** Tokens reserved at all engines. */
  usedTokens(): number {
    let sum = 0;
    for (const engine of this.memory.keys()) sum += this.usedAt(engine);
    return sum;
  }

  private usedAt(engine: string): number {
    const holds = this.memory.get(engine) ?? new Map<string, Hold>();
    for (const [name, {untilMs}] of holds) {
      if (untilMs <= this.nowMs) holds.delete(name);
    }
    return [...holds.values()].reduce((sum, {tokens}) => sum + tokens, 0);
  }

  private tell(host: string, event: SpreadEvent): void {
    if (this.dead.has(host)) return;
    const pausedMs = this.pausedUntilMs.get(host) ?? 0;
    if (this.nowMs < pausedMs) {
      this.at(pausedMs, () => this.tell(host, event));
      return;
    }
    const decision = this.options.hosts.get(host);
    if (!decision) return;
    for (const action of decision.handle(event, this.nowMs)) {
      this.act(host, action);
    }
    const wakeMs = decision.wakeAtMs();
    if (wakeMs === Infinity || this.wakes.get(host) === wakeMs) return;
    this.wakes.set(host, wakeMs);
    this.at(Math.max(wakeMs, this.nowMs), () => {
      if (this.wakes.get(host) !== wakeMs) return;
      this.wakes.delete(host);
      this.tell(host, {kind: SpreadEventKind.WAKE});
    });
  }

  private act(host: string, action: SpreadAction): void {
    switch (action.kind) {
      case SpreadActionKind.RESERVE:
        this.send(() => this.reserve(host, action));
        break;
      case SpreadActionKind.RELEASE:
        this.send(() =>
          this.memory.get(action.engine)?.delete(action.reservation),
        );
        break;
      case SpreadActionKind.START:
        this.start(host, action);
        break;
      case SpreadActionKind.STOP:
      case SpreadActionKind.REFUSE:
        this.end(action.id, action.kind);
        break;
    }
  }

  private send(deliver: () => void): void {
    const delayMs = this.options.travel();
    if (delayMs !== undefined) this.at(this.nowMs + delayMs, deliver);
  }

  private reserve(
    host: string,
    action: SpreadAction & {kind: SpreadActionKind.RESERVE},
  ): void {
    const {engine, reservation, askedMs} = action;
    const used = this.usedAt(engine);
    const holds = this.memory.get(engine);
    const hold = holds?.get(reservation);
    const untilMs = this.nowMs + action.leaseMs;
    if (hold) hold.untilMs = untilMs;
    const fits = used + action.tokens <= this.options.memoryTokens;
    if (!hold && fits) {
      holds?.set(reservation, {tokens: action.tokens, untilMs});
    }
    const isHeld = hold !== undefined || fits;
    this.send(() =>
      this.tell(
        host,
        isHeld
          ? {kind: SpreadEventKind.RESERVED, reservation, engine, askedMs}
          : {kind: SpreadEventKind.REFUSED, reservation, engine},
      ),
    );
  }

  private start(
    host: string,
    action: SpreadAction & {kind: SpreadActionKind.START},
  ): void {
    for (const engine of action.engines) {
      this.usedAt(engine);
      const isHeld = this.memory.get(engine)?.has(action.reservation);
      if (!isHeld && !this.crashed.has(engine)) {
        this.faults.push(`${action.id} started without ${engine}`);
      }
    }
    this.at(this.nowMs + this.options.runMs, () =>
      this.finish(host, action.id),
    );
  }

  private finish(host: string, id: string): void {
    if (this.dead.has(host) || this.ends.has(id)) return;
    const pausedMs = this.pausedUntilMs.get(host) ?? 0;
    if (this.nowMs < pausedMs) {
      this.at(pausedMs, () => this.finish(host, id));
      return;
    }
    this.end(id, SpreadActionKind.START);
    this.tell(host, {kind: SpreadEventKind.ENDED, id});
  }

  private end(id: string, kind: string): void {
    if (this.ends.has(id)) this.faults.push(`${id} ended twice`);
    this.ends.set(id, {atMs: this.nowMs, kind});
  }
}
