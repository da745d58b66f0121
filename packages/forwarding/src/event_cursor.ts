const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Bytes that one event may hold before its blank line. */
const MAX_EVENT_BYTES = 1_048_576;

/**
 * Cuts a stream of server-sent events into whole events and passes each one on
 * once, so that a stream may go on at another upstream after the last whole
 * event.
 */
export class EventCursor {
  private rest: Buffer = Buffer.alloc(0);
  private passedId: number | undefined;
  private passedCount = 0;

  /** @param afterId Last event id that the caller holds already. */
  constructor(afterId?: number) {
    this.passedId = afterId;
  }

  /** Id of the last event passed on, or that the caller held at the start. */
  get lastId(): number | undefined {
    return this.passedId;
  }

  /** Events passed on. */
  get count(): number {
    return this.passedCount;
  }

  /** Whether bytes of an event without its end are held. */
  get isInsideEvent(): boolean {
    return this.rest.length > 0;
  }

  /**
   * Takes bytes of the answer.
   *
   * @return The whole events among them that the caller does not hold yet, or
   *     undefined when the bytes are no stream of events.
   */
  take(chunk: Buffer): Buffer | undefined {
    let bytes =
      this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    const events: Buffer[] = [];
    let end = findEnd(bytes);
    while (end > 0) {
      const event = bytes.subarray(0, end);
      if (this.isNew(event)) events.push(event);
      bytes = bytes.subarray(end);
      end = findEnd(bytes);
    }
    this.rest = bytes;
    if (bytes.length > MAX_EVENT_BYTES) return undefined;
    return events.length === 1 ? events[0] : Buffer.concat(events);
  }

  /** Forgets a part of an event, before another upstream sends it whole. */
  dropPart(): void {
    this.rest = Buffer.alloc(0);
  }

  private isNew(event: Buffer): boolean {
    const id = readId(event);
    if (id === undefined) return true;
    if (this.passedId !== undefined && id <= this.passedId) return false;
    this.passedId = id;
    this.passedCount++;
    return true;
  }
}

/** Length of the first event with its blank line; 0 when it is not whole. */
function findEnd(bytes: Buffer): number {
  let at = bytes.indexOf(LINE_FEED);
  while (at >= 0) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) return at + 2;
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
    at = bytes.indexOf(LINE_FEED, at + 1);
  }
  return 0;
}

function readId(event: Buffer): number | undefined {
  const match = /^id: ?(\d+)\r?$/m.exec(event.toString('latin1'));
  return match === null ? undefined : Number(match[1]);
}
