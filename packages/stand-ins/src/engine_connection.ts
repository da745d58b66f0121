import type {ServerResponse} from 'node:http';
import type {Answer} from './answer.js';

const WORKING = ': working\n\n';

/** The caller's side of one attempt: a stream of server-sent events. */
export class EngineConnection {
  /** Tokens written. */
  tokens = 0;
  /** Monotonic time of the last write, in milliseconds. */
  writtenAtMs = 0;

  private pending = '';

  constructor(
    readonly attempt: string,
    readonly answer: Answer,
    private readonly response: ServerResponse,
  ) {}

  /** Begins the answer. */
  open(nowMs: number): void {
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
    });
    this.response.write(WORKING);
    this.writtenAtMs = nowMs;
  }

  /** Adds an event to what the next flush writes. */
  add(event: object): void {
    this.pending += `data: ${JSON.stringify(event)}\n\n`;
  }

  /** Writes the added events. */
  flush(nowMs: number): void {
    if (this.pending === '') return;
    this.response.write(this.pending);
    this.pending = '';
    this.writtenAtMs = nowMs;
  }

  /** Writes a sign of work. */
  writeWorking(nowMs: number): void {
    this.response.write(WORKING);
    this.writtenAtMs = nowMs;
  }

  /** Writes what was added and ends the answer. */
  end(): void {
    this.response.end(this.pending);
    this.pending = '';
  }

  /** Cuts the connection. */
  destroy(): void {
    this.response.destroy();
  }
}
