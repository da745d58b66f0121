import {PieceBuffer} from './piece_buffer.js';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Maximum length of an event that is not yet terminated by its blank line. */
const MAX_EVENT_BYTES = 1_048_576;
/** A line that is neither a field nor a comment of an event. */
const FOREIGN_LINE = /^(?!(?:data|event|id|retry)\r?$)[^:\r\n]+\r?$/m;
const DATA_LINE = /^data(?::|\r?$)/m;

/** Place of the next byte of an event, by what it takes to end the event. */
enum LinePlace {
  IN_LINE = 'in_line',
  LINE_START = 'line_start',
  /** Behind a carriage return that starts a line. */
  BLANK_LINE = 'blank_line',
}

/**
 * Splits a stream of server-sent events into complete events and returns each
 * one once. After a failure, the stream resumes on another upstream after the
 * last complete event.
 */
export class EventCursor {
  private readonly pending = new PieceBuffer();
  private place = LinePlace.IN_LINE;
  private returnedId: number | undefined;
  private returnedCount = 0;
  private requiresIds = false;
  private isFaulty = false;

  /**
   * @param afterId Id of the last event that the caller has already received.
   */
  constructor(afterId?: number) {
    this.returnedId = afterId;
  }

  /** Id of the last event returned, or `afterId` before the first one. */
  get lastId(): number | undefined {
    return this.returnedId;
  }

  /** Number of events returned that carried an id. */
  get count(): number {
    return this.returnedCount;
  }

  /** Whether the bytes received so far end inside an event. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Whether the bytes since the last `resume` are no part of the stream. */
  get hasFault(): boolean {
    return this.isFaulty;
  }

  /** The bytes received so far of an event that is not complete. */
  get partialEvent(): Buffer {
    return this.pending.join();
  }

  /**
   * Adds the next bytes of the answer. They are no part of the stream where an event
   * exceeds its maximum length or has lines that are no fields, or where an event
   * without an id comes after a resumption.
   *
   * @return The complete events that the caller has not received yet, up to a fault.
   */
  append(chunk: Buffer): Buffer {
    const events: Buffer[] = [];
    let start = 0;
    let end = this.findEventEnd(chunk, start);
    while (end > 0 && !this.isFaulty) {
      const event = this.completeEvent(chunk.subarray(start, end));
      const text = event.toString('latin1');
      const id = parseEventId(text);
      if (!this.isPart(text, id)) this.isFaulty = true;
      else if (this.advanceTo(id)) events.push(event);
      start = end;
      end = this.findEventEnd(chunk, start);
    }
    this.pending.append(chunk.subarray(start));
    if (this.pending.length > MAX_EVENT_BYTES) this.isFaulty = true;
    const [first] = events;
    return events.length === 1 && first ? first : Buffer.concat(events);
  }

  /**
   * Prepares for another upstream, which sends an incomplete event again. Events
   * of a resumed stream name their place in it if the earlier ones did.
   */
  resume(): void {
    this.setPending(Buffer.alloc(0));
    this.requiresIds = this.returnedCount > 0;
    this.isFaulty = false;
  }

  /**
   * Goes on with an earlier upstream.
   *
   * @param partialEvent What that one had sent of an event that was not complete.
   */
  restore(partialEvent: Buffer): void {
    this.setPending(partialEvent);
    this.requiresIds = false;
    this.isFaulty = false;
  }

  private setPending(partialEvent: Buffer): void {
    this.pending.clear();
    this.pending.append(partialEvent);
    this.place = LinePlace.IN_LINE;
    this.findEventEnd(partialEvent, 0);
  }

  /** Returns the event that these bytes complete. */
  private completeEvent(lastBytes: Buffer): Buffer {
    if (this.pending.length === 0) return lastBytes;
    this.pending.append(lastBytes);
    return this.pending.take();
  }

  /**
   * Looks for the blank line that ends the event. No byte is looked at twice, in
   * however many chunks the event comes.
   *
   * @return Where the event ends in the chunk; 0 if it does not end there.
   */
  private findEventEnd(chunk: Buffer, from: number): number {
    let at = from;
    while (at < chunk.length) {
      const byte = chunk[at];
      if (this.place === LinePlace.IN_LINE) {
        const lineEnd = chunk.indexOf(LINE_FEED, at);
        if (lineEnd < 0) return 0;
        at = lineEnd;
        this.place = LinePlace.LINE_START;
      } else if (byte === LINE_FEED) {
        this.place = LinePlace.IN_LINE;
        return at + 1;
      } else if (
        byte === CARRIAGE_RETURN &&
        this.place === LinePlace.LINE_START
      ) {
        this.place = LinePlace.BLANK_LINE;
      } else this.place = LinePlace.IN_LINE;
      at++;
    }
    return 0;
  }

  private isPart(event: string, id: number | undefined): boolean {
    if (FOREIGN_LINE.test(event)) return false;
    return id !== undefined || !this.requiresIds || !DATA_LINE.test(event);
  }

  /** Advances to the event; false when the caller has already received it. */
  private advanceTo(id: number | undefined): boolean {
    if (id === undefined) return true;
    if (this.returnedId !== undefined && id <= this.returnedId) return false;
    this.returnedId = id;
    this.returnedCount++;
    return true;
  }
}

function parseEventId(event: string): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(event);
  return match === null ? undefined : Number(match[1]);
}
