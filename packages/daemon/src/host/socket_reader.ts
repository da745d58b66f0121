import type {Socket} from 'node:net';
import {type ReadBudget, ReadSize} from '@parsleywood/forwarding';
import type {Clock} from './clock.js';
import {countLines} from './count_lines.js';
import {ReadMeter} from './read_meter.js';

/**
 * Reads a socket in small steps for a parser that would read all that has arrived.
 * Node.js hands over up to 2 MB in one turn of the event loop.
 */
export class SocketReader {
  private readonly meter: ReadMeter;
  private socket: Socket | undefined;
  private hasHold = false;
  private hasStopped = false;
  /** What the parser got last, until it asks for more. */
  private last: Buffer | undefined;
  /** Pieces that the parser found there. */
  private lastPieces = 0;
  private readonly size = new ReadSize();

  /** @param turnBytes Bytes after which other connections get their turn. */
  constructor(turnBytes: number, budget: ReadBudget, clock: Clock) {
    this.meter = new ReadMeter(turnBytes, budget, clock, () => {
      this.continue();
    });
  }

  /** Whether reading is stopped until `release`. */
  get isHeld(): boolean {
    return this.hasHold || this.hasStopped;
  }

  /** Takes over a socket that nothing has been read from. */
  attach(socket: Socket): void {
    this.socket = socket;
    const read = socket.read.bind(socket) as (size?: number) => Buffer | null;
    socket.read = (size?: number): Buffer | null => {
      if (size === 0) return read(0);
      this.recordLast();
      // What a connection brought that is closed already would still be parsed.
      if (socket.destroyed || this.isHeld || !this.meter.mayRead()) {
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
    this.lastPieces += pieces;
    this.meter.recordPieces(pieces);
  }

  /** Stops reading, so that the sender is held up as well. */
  hold(): void {
    this.hasHold = true;
  }

  /** Stops reading for good. */
  stop(): void {
    this.hasStopped = true;
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
    const {bytes: maxBytes} = this.size;
    this.lastPieces = 0;
    const bytes = readableLength > maxBytes ? read(maxBytes) : read();
    if (bytes === null) return null;
    this.meter.recordBytes(bytes.length);
    this.last = bytes;
    return bytes;
  }

  /** Counts the lines of a head or of trailers, of which the parser tells nothing. */
  private recordLast(): void {
    const {last, lastPieces, size} = this;
    this.last = undefined;
    if (last === undefined) return;
    if (lastPieces > 0) {
      size.recordPieces(last.length, lastPieces);
      return;
    }
    const lines = countLines(last);
    this.meter.recordPieces(lines);
    size.recordLines(last.length, lines);
  }

  /** Lets the parser read what it was not given. */
  private continue(): void {
    const {socket} = this;
    if (socket !== undefined && !socket.destroyed) socket.emit('readable');
  }
}
