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
  /**
   * Returns the delay of a message in milliseconds; undefined when the message
   * is lost.
   */
  readonly drawDelayMs: () => number | undefined;
}

interface Lease {
  readonly tokens: number;
  untilMs: number;
}

interface ScheduledTask {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/**
 * Simulates hosts and engines on virtual time, with lost messages, killed or
 * paused hosts and engine restarts.
 */
export class SpreadSimulation {
  nowMs = 0;
  /** Time and kind of the end of each prompt, by request ID. */
  readonly outcomes = new Map<string, {atMs: number; kind: string}>();
  readonly violations: string[] = [];
  /**
   * Engines that have restarted; they lost their leases without notifying the
   * hosts.
   */
  private readonly restartedEngines = new Set<string>();
  private readonly leases: Map<string, Map<string, Lease>>;
  private readonly killedHosts = new Set<string>();
  private readonly pausedUntilMsByHost = new Map<string, number>();
  private readonly wakeAtMsByHost = new Map<string, number>();
  private scheduledCount = 0;
  private readonly tasks = new TinyQueue<ScheduledTask>(
    [],
    (a, b) => a.atMs - b.atMs || a.sequence - b.sequence,
  );

  constructor(private readonly options: SpreadSimulationOptions) {
    this.leases = new Map(options.engines.map(name => [name, new Map()]));
    const engines = options.engines.map(name => ({
      name,
      model: 'm',
      memoryTokens: options.memoryTokens,
    }));
    for (const host of options.hosts.keys()) {
      this.schedule(0, () =>
        this.deliverEvent(host, {kind: SpreadEventKind.ENGINES, engines}),
      );
    }
  }

  schedule(atMs: number, run: () => void): void {
    this.tasks.push({atMs, sequence: this.scheduledCount++, run});
  }

  submitPrompt(
    atMs: number,
    host: string,
    id: string,
    tokens: number,
    limitMs: number,
  ) {
    const latestStartMs = atMs + limitMs;
    const kind = SpreadEventKind.NEEDED;
    this.schedule(atMs, () =>
      this.deliverEvent(host, {kind, id, model: 'm', tokens, latestStartMs}),
    );
  }

  /** Stops a host; it handles no further events. */
  kill(atMs: number, host: string): void {
    this.schedule(atMs, () => this.killedHosts.add(host));
  }

  /** Delays all events of a host for `forMs`. */
  pause(atMs: number, host: string, forMs: number): void {
    this.schedule(atMs, () => this.pausedUntilMsByHost.set(host, atMs + forMs));
  }

  /** Restarts an engine, which loses all its leases. */
  restartEngine(atMs: number, engine: string): void {
    this.schedule(atMs, () => {
      this.restartedEngines.add(engine);
      this.leases.get(engine)?.clear();
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

  /** Total tokens reserved on all engines. */
  sumReservedTokens(): number {
    let sum = 0;
    for (const engine of this.leases.keys()) sum += this.sumTokensAt(engine);
    return sum;
  }

  private sumTokensAt(engine: string): number {
    const leases = this.leases.get(engine) ?? new Map<string, Lease>();
    for (const [name, {untilMs}] of leases) {
      if (untilMs <= this.nowMs) leases.delete(name);
    }
    return [...leases.values()].reduce((sum, {tokens}) => sum + tokens, 0);
  }

  private deliverEvent(host: string, event: SpreadEvent): void {
    if (this.killedHosts.has(host)) return;
    const pausedMs = this.pausedUntilMsByHost.get(host) ?? 0;
    if (this.nowMs < pausedMs) {
      this.schedule(pausedMs, () => this.deliverEvent(host, event));
      return;
    }
    const decision = this.options.hosts.get(host);
    if (!decision) return;
    for (const action of decision.handle(event, this.nowMs)) {
      this.applyAction(host, action);
    }
    const wakeMs = decision.wakeAtMs();
    if (wakeMs === Infinity || this.wakeAtMsByHost.get(host) === wakeMs) return;
    this.wakeAtMsByHost.set(host, wakeMs);
    this.schedule(Math.max(wakeMs, this.nowMs), () => {
      if (this.wakeAtMsByHost.get(host) !== wakeMs) return;
      this.wakeAtMsByHost.delete(host);
      this.deliverEvent(host, {kind: SpreadEventKind.WAKE});
    });
  }

  private applyAction(host: string, action: SpreadAction): void {
    switch (action.kind) {
      case SpreadActionKind.RESERVE:
        this.sendMessage(() => this.reserve(host, action));
        break;
      case SpreadActionKind.RELEASE:
        this.sendMessage(() =>
          this.leases.get(action.engine)?.delete(action.reservation),
        );
        break;
      case SpreadActionKind.START:
        this.start(host, action);
        break;
      case SpreadActionKind.STOP:
      case SpreadActionKind.REFUSE:
        this.recordOutcome(action.id, action.kind);
        break;
    }
  }

  private sendMessage(deliver: () => void): void {
    const delayMs = this.options.drawDelayMs();
    if (delayMs !== undefined) this.schedule(this.nowMs + delayMs, deliver);
  }

  private reserve(
    host: string,
    action: SpreadAction & {kind: SpreadActionKind.RESERVE},
  ): void {
    const {engine, reservation, requestedAtMs} = action;
    const reservedTokens = this.sumTokensAt(engine);
    const leases = this.leases.get(engine);
    const lease = leases?.get(reservation);
    const untilMs = this.nowMs + action.leaseMs;
    if (lease) lease.untilMs = untilMs;
    const fits = reservedTokens + action.tokens <= this.options.memoryTokens;
    if (!lease && fits) {
      leases?.set(reservation, {tokens: action.tokens, untilMs});
    }
    const isHeld = lease !== undefined || fits;
    this.sendMessage(() =>
      this.deliverEvent(
        host,
        isHeld
          ? {kind: SpreadEventKind.RESERVED, reservation, engine, requestedAtMs}
          : {kind: SpreadEventKind.REFUSED, reservation, engine},
      ),
    );
  }

  private start(
    host: string,
    action: SpreadAction & {kind: SpreadActionKind.START},
  ): void {
    for (const engine of action.engines) {
      this.sumTokensAt(engine);
      const isHeld = this.leases.get(engine)?.has(action.reservation);
      if (!isHeld && !this.restartedEngines.has(engine)) {
        this.violations.push(
          `${action.id} started without a lease on ${engine}`,
        );
      }
    }
    this.schedule(this.nowMs + this.options.runMs, () =>
      this.finish(host, action.id),
    );
  }

  private finish(host: string, id: string): void {
    if (this.killedHosts.has(host) || this.outcomes.has(id)) return;
    const pausedMs = this.pausedUntilMsByHost.get(host) ?? 0;
    if (this.nowMs < pausedMs) {
      this.schedule(pausedMs, () => this.finish(host, id));
      return;
    }
    this.recordOutcome(id, SpreadActionKind.START);
    this.deliverEvent(host, {kind: SpreadEventKind.ENDED, id});
  }

  private recordOutcome(id: string, kind: string): void {
    if (this.outcomes.has(id)) this.violations.push(`${id} ended twice`);
    this.outcomes.set(id, {atMs: this.nowMs, kind});
  }
}
