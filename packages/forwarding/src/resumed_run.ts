import type {EventFields} from './event_fields.js';
import {isEarlierCount} from './is_earlier_count.js';
import type {PassedEvents} from './passed_events.js';
import {StreamFault} from './stream_fault.js';

/**
 * What a further upstream sends of a stream. It is to go on after the last event that was
 * passed on, and may repeat events from an earlier one on. If these are the same to the
 * byte, the caller has the beginning of this very run; if not, it is another run, and the
 * two are not joined.
 */
export class ResumedRun {
  private currentFault: StreamFault | undefined;
  /** Number of events that were passed on of earlier runs. */
  private readonly earlier: number;
  /** Place of the event to be repeated next; undefined before the first event. */
  private place: number | undefined;

  /**
   * @param lastId Id of the last event passed on.
   * @param callerId Id of an event that the caller had before the first one passed on.
   */
  constructor(
    private readonly passed: PassedEvents,
    private readonly lastId: string,
    private readonly callerId: string | undefined,
  ) {
    this.earlier = passed.length;
  }

  /** Why this is no part of the stream. */
  get fault(): StreamFault | undefined {
    return this.currentFault;
  }

  /** Whether it repeats events and has not come to the last one that was passed on. */
  get isRepeating(): boolean {
    return this.place !== undefined && this.place < this.earlier;
  }

  /** Takes the next event; returns whether it is to be passed on. */
  take(event: Buffer, {id, hasData}: EventFields): boolean {
    if (id === undefined && !hasData) return true;
    if (this.place === undefined && !id) {
      this.currentFault = StreamFault.NO_ID;
      return false;
    }
    const earlierPlace = id ? this.findEarlierPlace(id) : -1;
    this.place ??= earlierPlace < 0 ? this.earlier : earlierPlace;
    if (this.isRepeating && this.passed.isAt(this.place, event)) {
      this.place++;
      return false;
    }
    const isNew = !this.isRepeating && earlierPlace < 0;
    if (isNew && !(id && this.startsBefore(id))) return true;
    this.currentFault = StreamFault.OTHER_RUN;
    return false;
  }

  /** @return -1 if no event with this id was passed on of an earlier run. */
  private findEarlierPlace(id: string): number {
    const place = this.passed.findPlace(id);
    return place < this.earlier ? place : -1;
  }

  /**
   * Whether an id shows that the run starts before the caller's first event. Ids from
   * there on are known; of those before, only the order of counts tells.
   */
  private startsBefore(id: string): boolean {
    if (this.callerId === undefined) return false;
    return id === this.callerId || isEarlierCount(id, this.lastId);
  }
}
