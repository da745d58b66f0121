import type {NetworkOptions} from './network_options.js';
import type {VirtualTime} from '@parsleywood/types/testing';

const LATE_PERCENT = 10;
const LATE_FACTOR = 10;

/** A network that delays, loses, doubles, reorders, holds and severs. */
export class Network {
  private cut = new Set<string>();
  private losing = true;
  private readonly held = new Map<string, (() => void)[]>();

  constructor(
    private readonly time: VirtualTime,
    private readonly options: NetworkOptions,
    private readonly draw: (from: number, to: number) => number,
  ) {}

  send(
    from: string,
    to: string,
    arrive: () => void,
    lost: () => void = () => undefined,
  ): void {
    const kept = this.held.get(`${from}>${to}`);
    if (kept) {
      kept.push(() => this.send(from, to, arrive, lost));
      return;
    }
    const {
      lossPercent = 0,
      duplicatePercent = 0,
      delayMaxMs = 1,
    } = this.options;
    const copies = this.draw(0, 99) < duplicatePercent ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const unlucky = this.draw(0, 99) < lossPercent && this.losing;
      const dropped = unlucky || this.isCut(from, to);
      const delayMs = this.drawDelayMs(delayMaxMs);
      this.time.at(this.time.nowMs + delayMs, () => {
        if (!dropped && !this.isCut(from, to)) arrive();
        else if (copy === 0) lost();
      });
    }
  }

  /** Keeps the messages of one link back until they are released. */
  hold(from: string, to: string): void {
    this.held.set(`${from}>${to}`, []);
  }

  release(from: string, to: string): void {
    const link = `${from}>${to}`;
    const kept = this.held.get(link) ?? [];
    this.held.delete(link);
    for (const run of kept) run();
  }

  /** Severs every link between the named hosts and the others. */
  partition(side: readonly string[]): void {
    this.cut = new Set(side);
  }

  heal(): void {
    this.cut = new Set();
  }

  /** Loses no message from now on. */
  stopLosses(): void {
    this.losing = false;
  }

  private drawDelayMs(maxMs: number): number {
    if (maxMs <= 1) return 1;
    const isLate = this.draw(0, 99) < LATE_PERCENT;
    return this.draw(1, isLate ? maxMs * LATE_FACTOR : maxMs);
  }

  private isCut(from: string, to: string): boolean {
    return this.cut.has(from) !== this.cut.has(to);
  }
}
