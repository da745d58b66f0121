import {type ReadBudget, ReadTurn} from '@parsleywood/forwarding';
import type {Clock} from './clock.js';

/** Measures what one connection brings, and stops it while others are read. */
export class ReadMeter {
  private readonly turn: ReadTurn;
  private isWaiting = false;

  /**
   * @param turnBytes Bytes after which other connections get their turn.
   * @param onContinue Called when the connection may be read again.
   */
  constructor(
    turnBytes: number,
    private readonly budget: ReadBudget,
    private readonly clock: Clock,
    private readonly onContinue: () => void,
  ) {
    this.turn = new ReadTurn(turnBytes);
  }

  /** Whether the connection may be read; if not, `onContinue` follows. */
  mayRead(): boolean {
    if (this.turn.isOver) this.wait();
    return !this.isWaiting;
  }

  recordPieces(pieces: number): void {
    this.turn.recordPieces(pieces);
  }

  recordBytes(bytes: number): void {
    this.turn.recordBytes(bytes);
  }

  private wait(): void {
    if (this.isWaiting) return;
    this.isWaiting = true;
    const waitMs = this.budget.spend(this.turn.end(), this.clock.nowMs());
    const end = (): void => {
      this.isWaiting = false;
      this.onContinue();
    };
    if (waitMs < 1) setImmediate(end);
    else setTimeout(end, waitMs);
  }
}
