import type {SiteReplica} from '@parsleywood/forwarding';
import type {EventLog} from '../../host/event_log.js';

/** Most domains that are remembered as logged without upstreams. */
const MAX_REPORTED = 1_024;

/** Logs the begin and the end of each evacuation of a failure domain. */
export class EvacuationLog {
  private inForce: readonly string[] = [];
  private readonly reported = new Set<string>();

  constructor(
    private readonly replica: Pick<SiteReplica, 'evacuations' | 'upstreams'>,
    private readonly log: EventLog,
  ) {}

  /**
   * Logs what has changed since the last call.
   *
   * @param origin Store or peer that told it; "time" if its hold has ended.
   */
  record(origin: string, nowMs: number): void {
    const {evacuations} = this.replica;
    const before = this.inForce;
    const now = evacuations.listInForce(nowMs);
    if (before.length === 0 && now.length === 0) return;
    this.inForce = now;
    for (const failureDomain of now) {
      if (before.includes(failureDomain)) continue;
      const share = evacuations.getShare(failureDomain, nowMs);
      this.log.warn('evacuation_began', {failureDomain, origin, share});
      this.reportUnknown(failureDomain);
    }
    for (const failureDomain of before) {
      if (now.includes(failureDomain)) continue;
      this.log.warn('evacuation_ended', {failureDomain, origin});
    }
  }

  /** Logs, once for each, a domain in which no upstream is listed. */
  private reportUnknown(failureDomain: string): void {
    const {upstreams} = this.replica;
    if (this.reported.has(failureDomain)) return;
    if (this.reported.size >= MAX_REPORTED) return;
    const isUsed = upstreams
      .list()
      .some(entry => entry.failureDomain === failureDomain);
    if (isUsed) return;
    this.reported.add(failureDomain);
    this.log.warn('evacuation_without_upstreams', {failureDomain});
  }
}
