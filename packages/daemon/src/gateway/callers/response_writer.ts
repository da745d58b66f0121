import type {ServerResponse} from 'node:http';
import {
  ERROR_RESPONSES,
  formatFailure,
  type Failure,
} from '@parsleywood/errors';
import {
  MemoryKind,
  PieceBuffer,
  type MemoryAccount,
} from '@parsleywood/forwarding';
import type {HostMemory} from '../../host/host_memory.js';
import type {ResponseHead} from '../upstreams/response_head.js';

/** Unsent bytes from which no more is to be written. */
const MAX_UNSENT_BYTES = 1_048_576;
/** Unsent bytes that a response may have while memory is short. */
const FREE_UNSENT_BYTES = 65_536;
/** Bytes written at once to a caller that reads slowly, so that progress shows. */
const STEP_BYTES = 32_768;
const NO_BYTES = Buffer.alloc(0);
const MS_PER_SECOND = 1_000;

/** Writes the response to one caller. */
export class ResponseWriter {
  /** What waits until the caller reads, as each write that waits has a cost. */
  private readonly unsent = new PieceBuffer();
  /** What was taken out of there, or of a whole answer, and is written step by step. */
  private rest: Buffer = NO_BYTES;
  private endsAfterRest = false;
  private drainListener: () => void = () => undefined;
  private readonly account: MemoryAccount;
  private isMemoryShort = false;

  constructor(
    private readonly response: ServerResponse,
    private readonly requestId: string,
    private readonly requestIdHeader: string,
    private readonly memory: HostMemory,
  ) {
    const address = response.socket?.remoteAddress ?? '';
    this.account = memory.open(MemoryKind.UNSENT, address, {
      onGranted: () => undefined,
      onEnded: () => {
        this.abort();
      },
    });
    response.on('close', () => {
      memory.close(this.account);
    });
    response.on('drain', () => {
      this.flush();
      this.memory.recordProgress(this.account);
      this.updateMemory();
      if (!this.hasRest) this.drainListener();
    });
  }

  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Asks the caller to close the connection after this response. */
  closeConnectionAfter(): void {
    if (!this.response.headersSent) {
      this.response.setHeader('Connection', 'close');
    }
  }

  /**
   * Starts a response that is passed on as it arrives. It gets no length, as it may go
   * on at another upstream with more or fewer bytes.
   */
  start(head: ResponseHead): void {
    this.writeHead(head.status, dropContentLength(head.headers));
  }

  private writeHead(status: number, headers: string[]): void {
    const ownHeaders = this.response.getHeaders();
    for (const [name, value] of Object.entries(ownHeaders)) {
      headers.push(name, String(value));
    }
    this.response.writeHead(status, headers);
    this.response.flushHeaders();
  }

  /** Sends a complete response. */
  send(head: ResponseHead, body: Buffer): void {
    const headers = dropContentLength(head.headers);
    headers.push('Content-Length', String(body.length));
    this.writeHead(head.status, headers);
    this.rest = body;
    this.end();
  }

  /** Whether the caller reads too slowly for more to be written. */
  get isFull(): boolean {
    const maxBytes = this.isMemoryShort ? FREE_UNSENT_BYTES : MAX_UNSENT_BYTES;
    return this.unsentBytes > maxBytes;
  }

  /** @param listener Called each time that the caller has read what was written. */
  listenForDrain(listener: () => void): void {
    this.drainListener = listener;
  }

  /** @param listener Called when the last of the response is written. */
  listenForLastWrite(listener: () => void): void {
    this.response.once('prefinish', listener);
  }

  write(chunk: Buffer): void {
    if (chunk.length === 0) return;
    if (this.hasRest || this.response.writableNeedDrain) {
      this.unsent.append(chunk);
    } else this.response.write(chunk);
    this.updateMemory();
  }

  end(): void {
    this.endsAfterRest = true;
    this.flush();
    this.updateMemory();
  }

  /**
   * Closes the connection, so that the caller does not take the response for
   * complete.
   */
  abort(): void {
    this.response.destroy();
  }

  /** Sends an error response of this host, or ends a response that has begun. */
  fail(failure: Failure): void {
    if (this.hasStarted) {
      this.abort();
      return;
    }
    const body = Buffer.from(
      JSON.stringify(formatFailure(failure, this.requestId)),
    );
    const {retryAfterMs} = failure;
    if (retryAfterMs !== undefined) {
      const seconds = (retryAfterMs / MS_PER_SECOND).toFixed(3);
      this.response.setHeader('Retry-After', seconds);
    }
    if (this.requestId !== '') {
      this.response.setHeader(this.requestIdHeader, this.requestId);
    }
    this.response.writeHead(ERROR_RESPONSES[failure.kind].status, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
    });
    this.response.end(body);
  }

  private get unsentBytes(): number {
    const {response, unsent, rest} = this;
    return response.writableLength + unsent.length + rest.length;
  }

  private get hasRest(): boolean {
    return this.rest.length > 0 || this.unsent.length > 0;
  }

  private updateMemory(): void {
    const {account, memory, response} = this;
    // What is below the socket's own mark is written without a further event.
    const isWaiting = response.writableNeedDrain || response.writableEnded;
    const unsentBytes = isWaiting || this.hasRest ? this.unsentBytes : 0;
    if (unsentBytes === account.heldBytes) return;
    this.isMemoryShort = memory.update(account, unsentBytes);
  }

  private flush(): void {
    const {response} = this;
    while (this.hasRest && !response.writableNeedDrain) {
      if (this.rest.length === 0) this.rest = this.unsent.take();
      response.write(this.rest.subarray(0, STEP_BYTES));
      this.rest = this.rest.subarray(STEP_BYTES);
    }
    if (this.hasRest || !this.endsAfterRest) return;
    this.rest = NO_BYTES;
    if (!response.writableEnded) response.end();
  }
}

function dropContentLength(headers: readonly string[]): string[] {
  const remaining: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    if (name.toLowerCase() === 'content-length') continue;
    remaining.push(name, headers[index + 1] ?? '');
  }
  return remaining;
}
