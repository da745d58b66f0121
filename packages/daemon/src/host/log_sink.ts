import {write} from 'node:fs';
import type {Clock} from './clock.js';
import {SystemClock} from './system_clock.js';

/** Most bytes of lines that wait for a slow reader. */
const MAX_PENDING_BYTES = 1_048_576;
/** Lines of a burst, and lines a second after it. */
const BURST_LINES = 2_000;
const LINES_PER_SECOND = 400;
const STDOUT = 1;
const MS_PER_SECOND = 1_000;
/** Pause before a full pipe is tried again, in milliseconds. */
const EAGAIN_RETRY_DELAY_MS = 1;

/** Writes some of the bytes and tells how many. */
type Write = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/**
 * Writes lines to standard output without blocking: lines beyond a rate, or that
 * a slow reader does not take, are dropped and counted.
 */
export class LogSink {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private isWriting = false;
  private availableLines = BURST_LINES;
  private refilledAtMs: number;
  private droppedLines = 0;

  constructor(
    private readonly writeBytes: Write = (bytes, done) => {
      write(STDOUT, bytes, done);
    },
    private readonly clock: Clock = new SystemClock(),
  ) {
    this.refilledAtMs = clock.nowMs();
  }

  /** Lines dropped so far. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** @param isUrgent Whether the line is kept beyond the rate. */
  write(line: string, isUrgent: boolean): void {
    if (
      !this.takeFromRateLimit(isUrgent) ||
      this.pendingBytes + line.length > MAX_PENDING_BYTES
    ) {
      this.droppedLines++;
      return;
    }
    this.pendingLines.push(line);
    this.pendingBytes += line.length + 1;
    if (!this.isWriting) this.flush();
  }

  private takeFromRateLimit(isUrgent: boolean): boolean {
    const nowMs = this.clock.nowMs();
    const refilledLines =
      ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * LINES_PER_SECOND;
    this.refilledAtMs = nowMs;
    this.availableLines = Math.min(
      BURST_LINES,
      this.availableLines + refilledLines,
    );
    if (this.availableLines < 1) return isUrgent;
    this.availableLines -= 1;
    return true;
  }

  private flush(): void {
    this.isWriting = true;
    const bytes = Buffer.from(`${this.pendingLines.join('\n')}\n`);
    this.pendingLines = [];
    this.pendingBytes = 0;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => {
          this.writeAll(bytes);
        }, EAGAIN_RETRY_DELAY_MS);
        return;
      }
      // Without a reader there is nobody to tell.
      if (!error && written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      if (this.pendingLines.length > 0) this.flush();
    });
  }
}
