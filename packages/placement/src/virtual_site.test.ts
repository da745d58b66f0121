import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import TinyQueue from 'tinyqueue';
import {PlacementReconciler} from './placement_reconciler.js';
import type {PlacementAction} from './placement_action.js';
import {PlacementActionKind} from './placement_action_kind.js';
import type {PlacementEvent} from './placement_event.js';
import {PlacementEventKind} from './placement_event_kind.js';
import {VirtualEngine} from './virtual_engine.test.js';

const WAKE = {kind: PlacementEventKind.WAKE} as const;

interface ScheduledTask {
  readonly atMs: number;
  /** Orders tasks with the same time. */
  readonly index: number;
  readonly run: () => void;
}

interface Pause {
  readonly host: number;
  readonly fromMs: number;
  readonly forMs: number;
}

/** Simulates hosts and engines on virtual time, with lost calls and pauses. */
export class VirtualSite {
  readonly engines: VirtualEngine[];
  /** Times at which no engine served the model. */
  readonly unservedMs: number[] = [];
  /** Highest number of engines that loaded at the same time. */
  maxLoading = 0;
  private readonly hosts: PlacementReconciler[];
  private readonly wakes: number[];
  private readonly random;
  private readonly queue = new TinyQueue<ScheduledTask>(
    [],
    (a, b) => a.atMs - b.atMs || a.index - b.index,
  );
  private scheduledCount = 0;
  private nowMs = 0;

  /**
   * @param lastLossMs Time from which on no call is lost.
   * @param commandDelaysMs Time in which the commands of each host reach an
   *     engine, in milliseconds; random if absent.
   */
  constructor(
    seed: number,
    hostCount: number,
    checksFencing: readonly boolean[],
    private readonly pauses: readonly Pause[],
    private readonly lossPercent: number,
    private readonly lossEndMs: number,
    private readonly commandDelaysMs: readonly number[] = [],
  ) {
    this.random = xoroshiro128plus(seed);
    this.engines = checksFencing.map(one => new VirtualEngine(one));
    this.hosts = Array.from(
      {length: hostCount},
      (_, i) => new PlacementReconciler(`h${i}`),
    );
    this.wakes = this.hosts.map(() => Infinity);
  }

  schedule(atMs: number, run: () => void): void {
    this.queue.push({atMs, index: this.scheduledCount++, run});
  }

  /** Delivers an event to a host, at the end of its pause if it is paused. */
  deliver(host: number, event: PlacementEvent): void {
    const pause = this.pauses.find(
      one =>
        one.host === host &&
        one.fromMs <= this.nowMs &&
        this.nowMs < one.fromMs + one.forMs,
    );
    if (pause) {
      this.schedule(pause.fromMs + pause.forMs, () => {
        this.deliver(host, event);
      });
      return;
    }
    const reconciler = this.hosts[host]!;
    for (const action of reconciler.handle(event, this.nowMs)) {
      this.execute(host, action);
    }
    const wakeMs = reconciler.wakeAtMs();
    this.wakes[host] = wakeMs;
    if (wakeMs === Infinity) return;
    this.schedule(wakeMs, () => {
      if (this.wakes[host] === wakeMs) this.deliver(host, WAKE);
    });
  }

  run(untilMs: number): void {
    for (;;) {
      const next = this.queue.pop();
      if (next === undefined || next.atMs > untilMs) break;
      this.nowMs = Math.max(this.nowMs, next.atMs);
      next.run();
      const loading = this.engines.filter(one => one.isLoading(this.nowMs));
      this.maxLoading = Math.max(this.maxLoading, loading.length);
      if (!this.engines.some(one => one.isServing(this.nowMs))) {
        this.unservedMs.push(this.nowMs);
      }
    }
    this.nowMs = untilMs;
  }

  private execute(host: number, action: PlacementAction): void {
    const engine = this.engines[Number(action.engine.slice(1))]!;
    const isCommand = action.kind === PlacementActionKind.SEND_COMMAND;
    const randomDelayMs = this.drawInt(
      isCommand && this.drawInt(1) === 0 ? 900 : 50,
    );
    const requestDelayMs = isCommand
      ? (this.commandDelaysMs[host] ?? randomDelayMs)
      : randomDelayMs;
    const responseDelayMs = requestDelayMs + this.drawInt(50);
    const isLost = this.nowMs < this.lossEndMs && this.isLost();
    const isOnlyResponseLost = this.drawInt(1) === 0;
    const engineName = action.engine;
    let result: PlacementEvent = {
      kind: isCommand
        ? PlacementEventKind.COMMAND_FAILED
        : PlacementEventKind.READ_FAILED,
      engine: engineName,
    };
    this.schedule(this.nowMs + requestDelayMs, () => {
      if (isLost && !isOnlyResponseLost) return;
      const isAccepted = isCommand
        ? engine.apply(action.order, this.nowMs)
        : true;
      if (isLost) return;
      const content = engine.read(this.nowMs);
      if (!isCommand) {
        result = {
          kind: PlacementEventKind.READ_BACK,
          engine: engineName,
          content,
        };
      } else if (isAccepted) {
        result = {kind: PlacementEventKind.COMMAND_ENDED, engine: engineName};
      } else {
        const kind = PlacementEventKind.COMMAND_REFUSED;
        result = {kind, engine: engineName, fencing: content.fencing};
      }
    });
    this.schedule(this.nowMs + responseDelayMs, () => {
      this.deliver(host, result);
    });
  }

  private isLost(): boolean {
    return this.drawInt(99) < this.lossPercent;
  }

  private drawInt(max: number): number {
    return uniformInt(this.random, 0, max);
  }
}
