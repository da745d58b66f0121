import {HybridClock} from './hybrid_clock.js';
import type {HybridTime} from './hybrid_time.js';
import type {TimelineEntry} from './timeline_entry.js';
import type {TimelineEventName} from './timeline_event_name.js';
import {TimelineField} from './timeline_field.js';
import type {TimelineFields} from './timeline_fields.js';
import type {TimelineOptions} from './timeline_options.js';
import type {TimelineQuery} from './timeline_query.js';

const EVENT_BYTES = 160; // one kept event without its strings
const FIELD_BYTES = 16;
const MAX_VALUE_LENGTH = 64;
const MAX_REQUEST_ID_LENGTH = 128;
const FIELD_NAMES: ReadonlySet<string> = new Set(Object.values(TimelineField));
const NO_FIELDS: TimelineFields = {};

interface KeptEvent {
  readonly time: HybridTime;
  readonly sequence: number;
  readonly name: TimelineEventName;
  readonly requestId: string;
  readonly fields: TimelineFields;
  readonly bytes: number;
}

/** The last events of one process, in a ring bounded by count and bytes. */
export class Timeline {
  private readonly ring: (KeptEvent | undefined)[];
  private readonly clock = new HybridClock();
  private first = 0;
  private count = 0;
  private bytes = 0;
  private sequence = 0;

  constructor(private readonly options: TimelineOptions) {
    this.ring = new Array<KeptEvent | undefined>(options.maxEvents);
  }

  /** Estimated memory of the events kept, in bytes. */
  get keptBytes(): number {
    return this.bytes;
  }

  /**
   * Records one event.
   *
   * @param wallMs Wall clock, in milliseconds since the epoch.
   * @param requestId Empty when the event belongs to no request.
   * @param fields Taken over as it is; the caller changes it no more.
   */
  record(
    name: TimelineEventName,
    wallMs: number,
    requestId = '',
    fields: TimelineFields = NO_FIELDS,
  ): void {
    const {maxEvents, maxBytes} = this.options;
    const event = this.build(name, wallMs, requestId, fields);
    if (this.count === maxEvents) this.dropOldest();
    this.ring[(this.first + this.count) % maxEvents] = event;
    this.count++;
    this.bytes += event.bytes;
    while (this.bytes > maxBytes && this.count > 1) this.dropOldest();
  }

  /** Gives the time to put on an outgoing message. */
  stamp(wallMs: number): HybridTime {
    return this.clock.tick(wallMs);
  }

  /** Takes the time that a message carried; false if it is too far ahead. */
  observe(remote: HybridTime, wallMs: number): boolean {
    return this.clock.observe(remote, wallMs);
  }

  /** Reads kept events in the host's own order. */
  read(query: TimelineQuery = {}): TimelineEntry[] {
    const {requestId = '', afterMs = 0, limit = Infinity} = query;
    const found: KeptEvent[] = [];
    for (let i = 0; i < this.count; i++) {
      const event = this.ring[(this.first + i) % this.options.maxEvents];
      if (event === undefined || event.time.wallMs <= afterMs) continue;
      if (requestId !== '' && event.requestId !== requestId) continue;
      found.push(event);
      if (afterMs > 0 && found.length >= limit) break;
    }
    const chosen = limit === Infinity ? found : found.slice(-limit);
    return limit === 0 ? [] : chosen.map(event => this.format(event));
  }

  private build(
    name: TimelineEventName,
    wallMs: number,
    requestId: string,
    fields: TimelineFields,
  ): KeptEvent {
    const id = requestId.slice(0, MAX_REQUEST_ID_LENGTH);
    const time = this.clock.tick(wallMs);
    const bytes = EVENT_BYTES + id.length + measureFields(fields);
    const sequence = ++this.sequence;
    return {time, sequence, name, requestId: id, fields, bytes};
  }

  private dropOldest(): void {
    const oldest = this.ring[this.first];
    this.ring[this.first] = undefined;
    this.first = (this.first + 1) % this.options.maxEvents;
    this.count--;
    this.bytes -= oldest?.bytes ?? 0;
  }

  private format(event: KeptEvent): TimelineEntry {
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

function measureFields(fields: TimelineFields): number {
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
