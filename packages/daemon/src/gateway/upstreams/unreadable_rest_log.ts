import type {EventLog} from '../../host/event_log.js';

const MAX_LOGGED_LENGTH = 64;

/** Logs, once an upstream, a `Retry-After` that is ignored as it cannot be read. */
export class UnreadableRestLog {
  private readonly logged = new Set<string>();

  constructor(private readonly log: Pick<EventLog, 'warn'>) {}

  record(upstream: string, retryAfter: string): void {
    if (this.logged.has(upstream)) return;
    this.logged.add(upstream);
    this.log.warn('upstream_rest_ignored', {
      upstream,
      retryAfter: retryAfter.slice(0, MAX_LOGGED_LENGTH),
    });
  }

  /** Forgets upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const id of [...this.logged]) {
      if (!upstreams.has(id)) this.logged.delete(id);
    }
  }
}
