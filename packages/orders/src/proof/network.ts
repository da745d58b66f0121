import type {NetworkOptions} from './network_options.js';
import type {VirtualTime} from '@parsleywood/types/testing';

const LATE_PERCENT = 10;
const LATE_DELAY_FACTOR = 10;

/**
 * A simulated network that can delay, lose, duplicate, reorder and hold back
 * messages, and that can be partitioned.
 */
export class Network {
  private partitioned = new Set<string>();
  private isLossy = true;
  private readonly held = new Map<string, (() => void)[]>();

  constructor(
    private readonly time: VirtualTime,
    private readonly options: NetworkOptions,
    private readonly draw: (from: number, to: number) => number,
  ) {}

  send(
    from: string,
    to: string,
    onArrive: () => void,
    onLost: () => void = () => undefined,
  ): void {
    const heldMessages = this.held.get(`${from}>${to}`);
    if (heldMessages) {
      heldMessages.push(() => this.send(from, to, onArrive, onLost));
      return;
    }
    const {
      lossPercent = 0,
      duplicatePercent = 0,
      delayMaxMs = 1,
    } = this.options;
    const copies = this.draw(0, 99) < duplicatePercent ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      const isLost = this.draw(0, 99) < lossPercent && this.isLossy;
      const dropped = isLost || this.isPartitioned(from, to);
      const delayMs = this.drawDelayMs(delayMaxMs);
      this.time.at(this.time.nowMs + delayMs, () => {
        if (!dropped && !this.isPartitioned(from, to)) onArrive();
        else if (copy === 0) onLost();
      });
    }
  }

  /** Holds back the messages of one link until `releaseMessages`. */
  holdMessages(from: string, to: string): void {
    this.held.set(`${from}>${to}`, []);
  }

  releaseMessages(from: string, to: string): void {
    const link = `${from}>${to}`;
    const heldMessages = this.held.get(link) ?? [];
    this.held.delete(link);
    for (const resend of heldMessages) resend();
  }

  /** Cuts every link between the given hosts and all others. */
  partition(side: readonly string[]): void {
    this.partitioned = new Set(side);
  }

  heal(): void {
    this.partitioned = new Set();
  }

  /** Turns off random message loss; a partition still drops messages. */
  stopLosses(): void {
    this.isLossy = false;
  }

  private drawDelayMs(maxMs: number): number {
    if (maxMs <= 1) return 1;
    const isLate = this.draw(0, 99) < LATE_PERCENT;
    return this.draw(1, isLate ? maxMs * LATE_DELAY_FACTOR : maxMs);
  }

  private isPartitioned(from: string, to: string): boolean {
    return this.partitioned.has(from) !== this.partitioned.has(to);
  }
}
