import type {Socket} from 'node:net';
import type {ReadBudget} from '@parsleywood/forwarding';
import type {Clock} from './clock.js';
import {ReadMeter} from './read_meter.js';

/** Bytes that the parser gets at once. */
const MAX_READ_BYTES = 512;

/**
 * Reads a socket in small steps for a parser that would read all that has arrived.
 * Node.js hands over up to 2 MB in one turn of the event loop.
 */
export class SocketReader {
  private readonly meter: ReadMeter;
  private socket: Socket | undefined;
  private hasHold = false;

  /** @param turnBytes Bytes after which other connections get their turn. */
  constructor(turnBytes: number, budget: ReadBudget, clock: Clock) {
    this.meter = new ReadMeter(turnBytes, budget, clock, () => {
      this.continue();
    });
  }

  /** Whether reading is stopped until `release`. */
  get isHeld(): boolean {
    return this.hasHold;
  }

  /** Takes over a socket that nothing has been read from. */
  attach(socket: Socket): void {
    this.socket = socket;
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    socket.read = (size?: number): Buffer | null => {
      if (size === 0) return read(0);
      // What a connection brought that is closed already would still be parsed.
      if (socket.destroyed || this.hasHold || !this.meter.mayRead()) {
        return null;
      }
      return this.readNext(socket, read);
    };
  }

  /**
   * Takes over a socket of a Node.js server, which is fed what is read. The server
   * pauses and resumes the socket as it does when it reads by itself.
   */
  feed(socket: Socket): void {
    this.attach(socket);
    socket.pause = () => {
      this.hold();
      return socket;
    };
    socket.resume = () => {
      this.release();
      return socket;
    };
    // Reading emits the event by which the server gets the bytes.
    socket.on('readable', () => {
      while (socket.read() !== null);
    });
  }

  /** Counts pieces that the parser has found in what it got. */
  record(pieces: number): void {
    this.meter.record(pieces);
  }

  /** Stops reading, so that the sender is held up as well. */
  hold(): void {
    this.hasHold = true;
  }

  /** Goes on after `hold`. */
  release(): void {
    if (!this.hasHold) return;
    this.hasHold = false;
    setImmediate(() => {
      this.continue();
    });
  }

  private readNext(
    {readableLength}: Socket,
    read: (size?: number) => Buffer | null,
  ): Buffer | null {
    const isMore = readableLength > MAX_READ_BYTES;
    const bytes = isMore ? read(MAX_READ_BYTES) : read();
    if (bytes !== null) this.meter.recordBytes(bytes.length);
    return bytes;
  }

  /** Lets the parser read what it was not given. */
  private continue(): void {
    const {socket} = this;
    if (socket !== undefined && !socket.destroyed) socket.emit('readable');
  }
}
