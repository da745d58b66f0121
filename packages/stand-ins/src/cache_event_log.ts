import type {CacheEvent} from './cache_event.js';
import type {CacheEventKind} from './cache_event_kind.js';
import type {EngineOptions} from './engine_options.js';

interface DelayedEvent {
  readonly event: CacheEvent;
  readonly visibleAtMs: number;
}

/** Cache events as a reader gets them: late and with gaps. */
export class CacheEventLog {
  private readonly events: DelayedEvent[] = [];
  private sequence = 0;

  constructor(private readonly options: EngineOptions) {}

  /** Records a change of the prefix cache. */
  append(kind: CacheEventKind, prefixHash: string, nowMs: number): void {
    this.sequence++;
    if (this.sequence % this.options.cacheEventLossInterval === 0) return;
    const event = {sequence: this.sequence, kind, prefixHash};
    const visibleAtMs = nowMs + this.options.cacheEventDelayMs;
    this.events.push({event, visibleAtMs});
    if (this.events.length > 2 * this.options.cacheEventsKept) {
      this.events.splice(0, this.options.cacheEventsKept);
    }
  }

  /** Lists the visible events after a sequence number. */
  readAfter(sequence: number, nowMs: number): CacheEvent[] {
    return this.events
      .filter(({visibleAtMs}) => visibleAtMs <= nowMs)
      .map(({event}) => event)
      .filter(event => event.sequence > sequence);
  }
}
