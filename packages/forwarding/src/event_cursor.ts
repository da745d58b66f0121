import type {EventFields} from './event_fields.js';
import {EventSplitter} from './event_splitter.js';
import {isHeaderValue} from './is_header_value.js';
import {PassedEvents} from './passed_events.js';
import {readEventFields} from './read_event_fields.js';
import {ResumeObstacle} from './resume_obstacle.js';
import {ResumedRun} from './resumed_run.js';
import {StreamFault} from './stream_fault.js';

/** Maximum length of an event that is not yet terminated by its blank line. */
const MAX_EVENT_BYTES = 1_048_576;
/** Upstreams refuse headers that are much longer. */
const MAX_ID_BYTES = 4_096;
const BYTE_ORDER_MARK = Buffer.from('\uFEFF');

/**
 * Splits a stream of server-sent events into complete events and returns each one once.
 * After a failure, the stream resumes on another upstream after the last complete event.
 *
 * Ids are opaque texts: those of one run are not compared, and a run that goes on
 * elsewhere is asked for after the very text that its last event had.
 */
export class EventCursor {
  private readonly splitter = new EventSplitter();
  private readonly passed = new PassedEvents();
  private run: ResumedRun | undefined;
  private fault: StreamFault | undefined;
  private returnedId: string | undefined;
  private returnedCount = 0;
  private hasReturned = false;
  private idObstacle: ResumeObstacle | undefined;
  /** Whether no event has come since the stream began or was resumed. */
  private isAtStart = true;

  /**
   * @param callerId Id of the last event that the caller has of an earlier response.
   * @param isResumable Whether the stream may go on at another upstream.
   */
  constructor(
    private readonly callerId?: string,
    private readonly isResumable = true,
  ) {}

  /**
   * Id after which a further upstream is to go on, as it came; undefined where it starts
   * as the first one did.
   */
  get lastId(): string | undefined {
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

  /** Whether events are missing that the upstream has to repeat before it goes on. */
  get isRepeating(): boolean {
    return this.run?.isRepeating ?? false;
  }

  /** Why the bytes since the last `resume` are no part of the stream. */
  get streamFault(): StreamFault | undefined {
    return this.fault;
  }

  get hasFault(): boolean {
    return this.fault !== undefined;
  }

  /** Why no further upstream could go on with the stream. */
  get resumeObstacle(): ResumeObstacle | undefined {
    if (this.idObstacle !== undefined) return this.idObstacle;
    if (this.passed.hasOverflowed) return ResumeObstacle.TOO_LONG;
    return this.passed.hasRepeatedId ? ResumeObstacle.REPEATED_ID : undefined;
  }

  /** The bytes received so far of an event that is not complete. */
  get partialEvent(): Buffer {
    return this.splitter.partialEvent;
  }

  /**
   * Adds the next bytes of the answer.
   *
   * @return The complete events that the caller has not received yet, up to a fault.
   */
  append(chunk: Buffer): Buffer {
    const events = this.take(this.splitter.split(chunk));
    if (this.splitter.pendingBytes > MAX_EVENT_BYTES) {
      this.fault ??= StreamFault.EVENT_TOO_LONG;
    }
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

  /** Prepares for another upstream, which sends an incomplete event again. */
  resume(): void {
    this.begin(Buffer.alloc(0));
    this.run =
      this.returnedId === undefined
        ? undefined
        : new ResumedRun(this.passed, this.returnedId, this.callerId);
    this.isAtStart = true;
  }

  /**
   * Goes on with the first upstream.
   *
   * @param partialEvent What that one had sent of an event that was not complete.
   */
  restore(partialEvent: Buffer): void {
    this.begin(partialEvent);
    this.run = undefined;
    this.isAtStart = !this.hasReturned;
  }

  private begin(partialEvent: Buffer): void {
    this.splitter.restart(partialEvent);
    this.fault = undefined;
  }

  /** Returns the events that are to be passed on, up to a fault. */
  private take(events: Iterable<Buffer>): Buffer {
    const taken: Buffer[] = [];
    for (const whole of events) {
      if (this.hasFault) break;
      const event = this.isAtStart ? dropByteOrderMark(whole) : whole;
      this.isAtStart = false;
      const fields = readEventFields(event);
      if (fields.isForeign) this.fault = StreamFault.NO_EVENT;
      else if (this.run?.take(event, fields) === false) {
        this.fault = this.run.fault;
      } else {
        this.recordReturned(event, fields);
        taken.push(this.run === undefined ? whole : event);
      }
    }
    const [first] = taken;
    return taken.length === 1 && first ? first : Buffer.concat(taken);
  }

  private recordReturned(event: Buffer, {id, hasData}: EventFields): void {
    this.hasReturned = true;
    if (id === undefined && !hasData) return;
    this.idObstacle = findIdObstacle(id);
    if (!id) return;
    this.returnedId = id;
    this.returnedCount++;
    if (this.isResumable) this.passed.add(id, event);
  }
}

/** Finds why a stream cannot go on after an event with this id. */
function findIdObstacle(id: string | undefined): ResumeObstacle | undefined {
  // By the HTML standard an empty id takes back the one before.
  if (!id) return ResumeObstacle.NO_ID;
  return id.length <= MAX_ID_BYTES && isHeaderValue(id)
    ? undefined
    : ResumeObstacle.UNTELLABLE_ID;
}

function dropByteOrderMark(event: Buffer): Buffer {
  const length = BYTE_ORDER_MARK.length;
  return event.subarray(0, length).equals(BYTE_ORDER_MARK)
    ? event.subarray(length)
    : event;
}
