import {EventSplitter} from './event_splitter.js';

/** Maximum length of an event that is not yet terminated by its blank line. */
const MAX_EVENT_BYTES = 1_048_576;
/** A line that is neither a field nor a comment of an event. */
const FOREIGN_LINE = /^(?!(?:data|event|id|retry)\r?$)[^:\r\n]+\r?$/m;
const DATA_LINE = /^data(?::|\r?$)/m;

/**
 * Splits a stream of server-sent events into complete events and returns each
 * one once. After a failure, the stream resumes on another upstream after the
 * last complete event.
 */
export class EventCursor {
  private readonly splitter = new EventSplitter();
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
    return this.splitter.pendingBytes > 0;
  }

  /** Whether the bytes since the last `resume` are no part of the stream. */
  get hasFault(): boolean {
    return this.isFaulty;
  }

  /** The bytes received so far of an event that is not complete. */
  get partialEvent(): Buffer {
    return this.splitter.partialEvent;
  }

  /**
   * Adds the next bytes of the answer. They are no part of the stream where an event
   * exceeds its maximum length or has lines that are no fields, or where an event
   * without an id comes after a resumption.
   *
   * @return The complete events that the caller has not received yet, up to a fault.
   */
  append(chunk: Buffer): Buffer {
    const events = this.take(this.splitter.split(chunk));
    if (this.splitter.pendingBytes > MAX_EVENT_BYTES) this.isFaulty = true;
    return events;
  }

  /**
   * Ends the answer, if it is whole.
   *
   * @return The event that its end completes, if there is one.
   */
  finish(): Buffer {
    const last = this.splitter.takeLast();
    return last.length > 0 ? this.take([last]) : last;
  }

  /**
   * Prepares for another upstream, which sends an incomplete event again. Events
   * of a resumed stream name their place in it if the earlier ones did.
   */
  resume(): void {
    this.splitter.restart(Buffer.alloc(0));
    this.requiresIds = this.returnedCount > 0;
    this.isFaulty = false;
  }

  /**
   * Goes on with an earlier upstream.
   *
   * @param partialEvent What that one had sent of an event that was not complete.
   */
  restore(partialEvent: Buffer): void {
    this.splitter.restart(partialEvent);
    this.requiresIds = false;
    this.isFaulty = false;
  }

  /** Returns the events that are to be passed on, up to a fault. */
  private take(events: Iterable<Buffer>): Buffer {
    const taken: Buffer[] = [];
    for (const event of events) {
      if (this.isFaulty) break;
      const text = event.toString('latin1');
      const id = parseEventId(text);
      if (!this.isPart(text, id)) this.isFaulty = true;
      else if (this.advanceTo(id)) taken.push(event);
    }
    const [first] = taken;
    return taken.length === 1 && first ? first : Buffer.concat(taken);
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
