const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Maximum length of an event that is not yet terminated by its blank line. */
const MAX_EVENT_BYTES = 1_048_576;

/**
 * Splits a stream of server-sent events into complete events and returns each
 * one once. After a failure, the stream resumes on another upstream after the
 * last complete event.
 */
export class EventCursor {
  private pending: Buffer = Buffer.alloc(0);
  private returnedId: number | undefined;
  private returnedCount = 0;

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

  /**
   * Adds the next bytes of the answer.
   *
   * @return The complete events that the caller has not received yet, or
   *     undefined when an event exceeds its maximum length.
   */
  append(chunk: Buffer): Buffer | undefined {
    let bytes =
      this.pending.length > 0 ? Buffer.concat([this.pending, chunk]) : chunk;
    const events: Buffer[] = [];
    let end = findEventEnd(bytes);
    while (end > 0) {
      const event = bytes.subarray(0, end);
      if (this.advanceTo(event)) events.push(event);
      bytes = bytes.subarray(end);
      end = findEventEnd(bytes);
    }
    this.pending = bytes;
    if (bytes.length > MAX_EVENT_BYTES) return undefined;
    return events.length === 1 ? events[0] : Buffer.concat(events);
  }

  /** Discards an incomplete event before another upstream sends it again. */
  discardPartialEvent(): void {
    this.pending = Buffer.alloc(0);
  }

  /** Advances to the event; false when the caller has already received it. */
  private advanceTo(event: Buffer): boolean {
    const id = parseEventId(event);
    if (id === undefined) return true;
    if (this.returnedId !== undefined && id <= this.returnedId) return false;
    this.returnedId = id;
    this.returnedCount++;
    return true;
  }
}

/** Length of the first event with its blank line; 0 when it is incomplete. */
function findEventEnd(bytes: Buffer): number {
  let at = bytes.indexOf(LINE_FEED);
  while (at >= 0) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return 0;
}

function parseEventId(event: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(event.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}
