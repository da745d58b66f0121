import {LineEndSearch} from './line_end_search.js';
import {PieceBuffer} from './piece_buffer.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** What the bytes before the next one have ended. */
enum Boundary {
  NONE = 'none',
  EVENT = 'event',
  /** A line, by a line feed alone. */
  LINE = 'line',
  /** A line, by a carriage return, which a line feed may follow. */
  LINE_BY_RETURN = 'line_by_return',
  /** A line, by a carriage return and a line feed. */
  LINE_BY_BOTH = 'line_by_both',
  /** A blank line, by a carriage return, which a line feed may follow. */
  BLANK_LINE_BY_RETURN = 'blank_line_by_return',
}

/**
 * Splits a stream of server-sent events after each blank line. A line ends with a line
 * feed, a carriage return, or both. Its cost does not grow with the number of chunks that an
 * event comes in.
 */
export class EventSplitter {
  private readonly pending = new PieceBuffer();
  private boundary = Boundary.EVENT;

  /** Number of bytes since the last blank line. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** The bytes since the last blank line. */
  get partialEvent(): Buffer {
    return this.pending.join();
  }

  /** Goes on behind the first bytes of an event; they may be none. */
  restart(partialEvent: Buffer): void {
    this.pending.clear();
    this.boundary = Boundary.EVENT;
    this.findEventEnd(partialEvent, 0, new LineEndSearch(partialEvent));
    this.pending.append(partialEvent);
  }

  /** @return The events that the chunk completes, each with its blank line. */
  *split(chunk: Buffer): Generator<Buffer, void> {
    const lineEnds = new LineEndSearch(chunk);
    let start = 0;
    let end = this.findEventEnd(chunk, start, lineEnds);
    while (end >= 0) {
      yield this.completeEvent(chunk.subarray(start, end));
      start = end;
      end = this.findEventEnd(chunk, start, lineEnds);
    }
    this.pending.append(chunk.subarray(start));
  }

  /**
   * Takes the event whose blank line ends with the stream, before a line feed that might
   * have followed; empty if there is none.
   */
  takeLast(): Buffer {
    if (this.boundary !== Boundary.BLANK_LINE_BY_RETURN) return Buffer.alloc(0);
    this.boundary = Boundary.EVENT;
    return this.pending.take();
  }

  private completeEvent(lastBytes: Buffer): Buffer {
    if (this.pending.length === 0) return lastBytes;
    this.pending.append(lastBytes);
    return this.pending.take();
  }

  /** @return Where the event ends in the chunk; -1 if it does not end there. */
  private findEventEnd(
    chunk: Buffer,
    from: number,
    lineEnds: LineEndSearch,
  ): number {
    let at = from;
    while (at < chunk.length) {
      if (this.boundary === Boundary.NONE) {
        at = lineEnds.find(at);
        if (at === chunk.length) return -1;
      }
      const byte = chunk[at];
      if (
        this.boundary === Boundary.BLANK_LINE_BY_RETURN &&
        byte !== LINE_FEED
      ) {
        this.boundary = Boundary.EVENT;
        return at;
      }
      this.boundary = findBoundary(this.boundary, byte);
      at++;
      if (this.boundary === Boundary.EVENT) return at;
    }
    return -1;
  }
}

function findBoundary(before: Boundary, byte: number | undefined): Boundary {
  if (byte === LINE_FEED) {
    if (before === Boundary.LINE_BY_RETURN) return Boundary.LINE_BY_BOTH;
    return before === Boundary.NONE ? Boundary.LINE : Boundary.EVENT;
  }
  if (byte !== CARRIAGE_RETURN) return Boundary.NONE;
  if (before === Boundary.NONE) return Boundary.LINE_BY_RETURN;
  // Where returns alone end the lines, no line feed is waited for.
  return before === Boundary.LINE_BY_RETURN
    ? Boundary.EVENT
    : Boundary.BLANK_LINE_BY_RETURN;
}
