import type {UpstreamEntry} from './upstream_entry.js';

const MAX_RECORDS = 4_096;

/**
 * Upstreams that have said in an answer that they leave. That holds for one start
 * of an upstream, whatever the store lists.
 */
export class LeavingUpstreams {
  /** Start times, by id; the one recorded first comes first. */
  private readonly bornMsById = new Map<string, number>();

  /**
   * Records that an upstream leaves.
   *
   * @param bornMs Time of its start; 0 when it is not known.
   * @return Whether that is news.
   */
  record(id: string, bornMs: number): boolean {
    if (bornMs <= (this.bornMsById.get(id) ?? -1)) return false;
    this.bornMsById.delete(id);
    this.bornMsById.set(id, bornMs);
    const [oldest] = this.bornMsById.keys();
    if (this.bornMsById.size > MAX_RECORDS && oldest !== undefined) {
      this.bornMsById.delete(oldest);
    }
    return true;
  }

  has({id, bornMs = 0}: Pick<UpstreamEntry, 'id' | 'bornMs'>): boolean {
    return bornMs <= (this.bornMsById.get(id) ?? -1);
  }

  /** Lists ids and start times. */
  list(): {id: string; bornMs: number}[] {
    return [...this.bornMsById].map(([id, bornMs]) => ({id, bornMs}));
  }
}
