import type {EventLog} from '../../host/event_log.js';

const MAX_LOGGED_LENGTH = 64;

/** Logs, once an upstream, a header that is ignored as it cannot be read. */
export class IgnoredHeaderLog {
  private readonly logged = new Set<string>();

  /**
   * @param event Name of the log's line.
   * @param field Name of the line's field for the header's value.
   */
  constructor(
    private readonly log: Pick<EventLog, 'warn'>,
    private readonly event: string,
    private readonly field: string,
  ) {}

  record(upstream: string, value: string): void {
    if (this.logged.has(upstream)) return;
    this.logged.add(upstream);
    this.log.warn(this.event, {
      upstream,
      [this.field]: value.slice(0, MAX_LOGGED_LENGTH),
    });
  }

  /** Forgets upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const id of [...this.logged]) {
      if (!upstreams.has(id)) this.logged.delete(id);
    }
  }
}
