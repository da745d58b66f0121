import type {TimelinePage, TimelineQuery} from '@parsleywood/schema/timeline';
import {
  encodeEntry,
  Timeline,
  type HybridTime,
  type TimelineEventName,
  type TimelineFields,
} from '@parsleywood/timeline';
import type {Incarnation} from '@parsleywood/types';
import type {Clock} from './clock.js';

const MAX_EVENTS = 50_000;
const MAX_BYTES = 16_000_000;
const MAX_PAGE_EVENTS = 10_000;

/** Bounded event timeline of this process, with hybrid logical timestamps. */
export class HostTimeline {
  private readonly timeline: Timeline;

  constructor(
    self: Incarnation,
    private readonly clock: Clock,
  ) {
    this.timeline = new Timeline({
      self,
      maxEvents: MAX_EVENTS,
      maxBytes: MAX_BYTES,
    });
  }

  record(
    name: TimelineEventName,
    requestId?: string,
    fields?: TimelineFields,
  ): void {
    this.timeline.record(name, this.clock.wallMs(), requestId, fields);
  }

  /** Timestamp for a message that is sent now. */
  stamp(): HybridTime {
    return this.timeline.stamp(this.clock.wallMs());
  }

  /** Advances the hybrid clock to the timestamp of a received message. */
  observe(time: HybridTime | undefined): void {
    if (time !== undefined) this.timeline.observe(time, this.clock.wallMs());
  }

  read(query: TimelineQuery): TimelinePage {
    const limit = Math.min(query.maxEvents || MAX_PAGE_EVENTS, MAX_PAGE_EVENTS);
    const {requestId, afterMs} = query;
    const entries = this.timeline.read({requestId, afterMs, limit});
    return {events: entries.map(encodeEntry)};
  }
}
