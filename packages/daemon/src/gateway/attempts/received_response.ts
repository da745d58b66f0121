import {
  AttemptOutcome,
  EventCursor,
  isRepeatable,
  RequestKind,
  type ResumeObstacle,
  type Route,
} from '@parsleywood/forwarding';
import type {GatewayContext} from '../gateway_context.js';
import type {ReceivedPart} from './received_part.js';
import type {RequestMetadata} from '../callers/request_metadata.js';
import {ResponseBuffer} from './response_buffer.js';
import type {ResponseHead} from '../upstreams/response_head.js';

const OK_STATUS = 200;
const NO_EVENTS = Buffer.alloc(0);

/** What has arrived of the response to one request, from attempt to attempt. */
export class ReceivedResponse {
  private readonly cursor: EventCursor;
  private currentHead: ResponseHead | undefined;
  private buffer: ResponseBuffer;

  /** @param metadata Tells the last event of an earlier response, if there is one. */
  constructor(
    private readonly route: Route,
    {lastEventId}: RequestMetadata,
    private readonly context: GatewayContext,
  ) {
    this.buffer = new ResponseBuffer(context.bufferBudget);
    this.cursor = new EventCursor(lastEventId, isRepeatable(route));
  }

  /** Status and headers of the attempt in progress. */
  get head(): ResponseHead | undefined {
    return this.currentHead;
  }

  /**
   * Head of an attempt that has ended, as far as it counts: what a response that broke
   * off says of its upstream proves nothing.
   */
  getHeadAfter(outcome: AttemptOutcome): ResponseHead | undefined {
    return outcome === AttemptOutcome.BROKEN ? undefined : this.currentHead;
  }

  /** Whether the response is passed on event by event. */
  get isStreaming(): boolean {
    return (
      this.route.kind === RequestKind.STREAM &&
      this.currentHead?.status === OK_STATUS &&
      this.currentHead.isEventStream
    );
  }

  /** Why what has arrived is no whole response; undefined if it may be one. */
  get flaw(): string | undefined {
    if (!this.isStreaming || this.fault !== undefined) return this.fault;
    if (this.cursor.hasPartialEvent) return 'stream ended inside an event';
    return this.cursor.isRepeating
      ? 'resumed stream ended before the last event passed on'
      : undefined;
  }

  /**
   * Id of the event after which a further attempt goes on; undefined where it starts as
   * the caller asked for.
   */
  get lastEventId(): string | undefined {
    return this.cursor.lastId;
  }

  /** Why no further attempt could go on with the response. */
  get resumeObstacle(): ResumeObstacle | undefined {
    return this.cursor.resumeObstacle;
  }

  get eventCount(): number {
    return this.cursor.count;
  }

  /** Set when what has arrived cannot be passed on. */
  get fault(): string | undefined {
    if (!this.isStreaming) return this.buffer.fault;
    return this.cursor.streamFault;
  }

  /** Prepares for the response to a further attempt. */
  restart(): void {
    this.currentHead = undefined;
    this.discardBody();
    this.cursor.resume();
  }

  recordHead(head: ResponseHead): void {
    this.currentHead = head;
  }

  /** @return The complete events, which the caller has not received yet. */
  append(chunk: Buffer): Buffer {
    if (this.isStreaming) return this.cursor.append(chunk);
    this.buffer.append(chunk);
    return NO_EVENTS;
  }

  /** @return The event that the end of a whole stream completes, if there is one. */
  finishEvents(): Buffer {
    return this.isStreaming ? this.cursor.finish() : NO_EVENTS;
  }

  /** Returns the body of a response that is not streamed. */
  readBody(): Buffer {
    return this.buffer.join();
  }

  /** Gives up the body of a response that is not streamed. */
  discardBody(): void {
    this.buffer.discard();
  }

  /** Hands over what is needed to go on with the attempt in progress later. */
  capture(): ReceivedPart {
    const {currentHead: head, buffer, cursor} = this;
    this.buffer = new ResponseBuffer(this.context.bufferBudget);
    return {head, buffer, partialEvent: cursor.partialEvent};
  }

  /** Goes on with an earlier attempt. */
  restore({head, buffer, partialEvent}: ReceivedPart): void {
    this.currentHead = head;
    this.discardBody();
    this.buffer = buffer;
    this.cursor.restore(partialEvent);
  }
}
