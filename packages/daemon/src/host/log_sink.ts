import {write} from 'node:fs';
import type {Clock} from './clock.js';
import {SystemClock} from './system_clock.js';

/** Maximum bytes of lines buffered for a slow reader. */
const MAX_PENDING_BYTES = 1_048_576;
/** Rate limit: size of a burst in lines, and the sustained lines per second. */
const BURST_LINES = 2_000;
const LINES_PER_SECOND = 400;
const STDOUT = 1;
const MS_PER_SECOND = 1_000;
/** Delay before retrying a write to a full pipe. */
const EAGAIN_RETRY_DELAY_MS = 1;

/** Writes some of the bytes and reports how many; partial writes are allowed. */
type Write = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/**
 * Writes lines to standard output without blocking. Lines that exceed the rate
 * limit, or the buffer for a slow reader, are dropped and counted.
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

  /** Number of lines dropped since the start. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** @param isUrgent Whether the line is exempt from the rate limit. */
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
      // Other errors, such as EPIPE, mean that there is no reader, so the bytes are
      // discarded: there is nowhere to report the error.
      if (!error && written < bytes.length) {
        this.writeAll(bytes.subarray(written));
        return;
      }
      this.isWriting = false;
      if (this.pendingLines.length > 0) this.flush();
    });
  }
}
