import {HybridClock} from './hybrid_clock.js';
import type {HybridTime} from './hybrid_time.js';
import type {TimelineEntry} from './timeline_entry.js';
import type {TimelineEventName} from './timeline_event_name.js';
import {TimelineField} from './timeline_field.js';
import type {TimelineFields} from './timeline_fields.js';
import type {TimelineOptions} from './timeline_options.js';
import type {TimelineQuery} from './timeline_query.js';

/** Estimated memory of one buffered event without its strings. */
const EVENT_BYTES = 160;
/** Estimated memory of one field without its string value. */
const FIELD_BYTES = 16;
const MAX_VALUE_LENGTH = 64;
const MAX_REQUEST_ID_LENGTH = 128;
const FIELD_NAMES: ReadonlySet<string> = new Set(Object.values(TimelineField));
const NO_FIELDS: TimelineFields = {};

interface BufferedEvent {
  readonly time: HybridTime;
  readonly sequence: number;
  readonly name: TimelineEventName;
  readonly requestId: string;
  readonly fields: TimelineFields;
  readonly bytes: number;
}

/**
 * Ring buffer of the latest events of one process, bounded by number of events
 * and by bytes. The oldest events are evicted first.
 */
export class Timeline {
  private readonly ring: (BufferedEvent | undefined)[];
  private readonly clock = new HybridClock();
  private oldestIndex = 0;
  private count = 0;
  private bytes = 0;
  private sequence = 0;

  constructor(private readonly options: TimelineOptions) {
    this.ring = new Array<BufferedEvent | undefined>(options.maxEvents);
  }

  /** Estimated memory of the buffered events, in bytes. */
  get bufferedBytes(): number {
    return this.bytes;
  }

  /**
   * Appends an event and evicts the oldest ones beyond the limits.
   *
   * @param wallMs Wall clock, in milliseconds since the epoch.
   * @param requestId Empty when the event belongs to no request.
   * @param fields Stored without a copy; the caller must not modify it later.
   */
  record(
    name: TimelineEventName,
    wallMs: number,
    requestId = '',
    fields: TimelineFields = NO_FIELDS,
  ): void {
    const {maxEvents, maxBytes} = this.options;
    const event = this.buildEvent(name, wallMs, requestId, fields);
    if (this.count === maxEvents) this.evictOldest();
    this.ring[(this.oldestIndex + this.count) % maxEvents] = event;
    this.count++;
    this.bytes += event.bytes;
    while (this.bytes > maxBytes && this.count > 1) this.evictOldest();
  }

  /** Advances the clock and returns the time for an outgoing message. */
  stamp(wallMs: number): HybridTime {
    return this.clock.tick(wallMs);
  }

  /**
   * Merges the time carried by a received message into the clock.
   *
   * @return False if the sender's clock is too far ahead; the time is then
   *     ignored.
   */
  observe(remote: HybridTime, wallMs: number): boolean {
    return this.clock.observe(remote, wallMs);
  }

  /** Returns matching buffered events in the order in which they were recorded. */
  read(query: TimelineQuery = {}): TimelineEntry[] {
    const {requestId = '', afterMs = 0, limit = Infinity} = query;
    const matches: BufferedEvent[] = [];
    for (let i = 0; i < this.count; i++) {
      const event = this.ring[(this.oldestIndex + i) % this.options.maxEvents];
      if (event === undefined || event.time.wallMs <= afterMs) continue;
      if (requestId !== '' && event.requestId !== requestId) continue;
      matches.push(event);
      if (afterMs > 0 && matches.length >= limit) break;
    }
    const selected = limit === Infinity ? matches : matches.slice(-limit);
    return limit === 0 ? [] : selected.map(event => this.formatEvent(event));
  }

  private buildEvent(
    name: TimelineEventName,
    wallMs: number,
    requestId: string,
    fields: TimelineFields,
  ): BufferedEvent {
    const id = requestId.slice(0, MAX_REQUEST_ID_LENGTH);
    const time = this.clock.tick(wallMs);
    const bytes = EVENT_BYTES + id.length + estimateFieldBytes(fields);
    const sequence = ++this.sequence;
    return {time, sequence, name, requestId: id, fields, bytes};
  }

  private evictOldest(): void {
    const oldest = this.ring[this.oldestIndex];
    this.ring[this.oldestIndex] = undefined;
    this.oldestIndex = (this.oldestIndex + 1) % this.options.maxEvents;
    this.count--;
    this.bytes -= oldest?.bytes ?? 0;
  }

  private formatEvent(event: BufferedEvent): TimelineEntry {
    const {host, id: incarnation} = this.options.self;
    const {time, sequence, name, requestId} = event;
    const fields = formatFields(event.fields);
    const {wallMs: timeMs, counter} = time;
    return {
      timeMs,
      counter,
      host,
      incarnation,
      sequence,
      name,
      requestId,
      fields,
    };
  }
}

function estimateFieldBytes(fields: TimelineFields): number {
  let bytes = 0;
  for (const name in fields) {
    const value = fields[name as keyof TimelineFields];
    bytes += FIELD_BYTES;
    if (typeof value === 'string') bytes += value.length;
  }
  return bytes;
}

function formatFields(fields: TimelineFields): Record<string, string> {
  const formatted: Record<string, string> = {};
  for (const [name, value] of Object.entries(fields)) {
    if (!FIELD_NAMES.has(name)) continue;
    formatted[name] = String(value).slice(0, MAX_VALUE_LENGTH);
  }
  return formatted;
}
