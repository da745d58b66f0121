import type {Placement} from './placement.js';
import {PlacementPhase} from './placement_phase.js';
import type {PlacementRecord} from './placement_record.js';
import type {UpstreamPlacements} from './upstream_placements.js';

/** Age at which a placement is dropped when its end was never reported. */
const MAX_AGE_MS = 20_000;

/**
 * Tracks the attempts of all hosts that have not ended. Load reports of upstreams
 * lag behind; these placements show the load before it is reported.
 */
export class PlacementRegistry {
  private readonly records = new Map<string, PlacementRecord>();
  private readonly byUpstream = new Map<string, Set<PlacementRecord>>();
  private readonly lastPrefillEndsMs = new Map<string, number>();
  /** Ids of the placements of each suspect, by its fingerprint. */
  private readonly suspectIds = new Map<string, Set<string>>();

  get size(): number {
    return this.records.size;
  }

  /** Lists the attempts of all hosts that have not ended. */
  list(): PlacementRecord[] {
    return [...this.records.values()];
  }

  /** @param placedAtMs Time of the placement, of which a peer may have told later. */
  add(placement: Placement, nowMs: number, placedAtMs = nowMs): void {
    if (this.records.has(placement.id)) return;
    const record: PlacementRecord = {
      placement,
      placedAtMs,
      phase: PlacementPhase.PREFILL,
      hasMissedPauseObjective: false,
      hasMetSuspect: false,
      hasMetOther: false,
    };
    this.records.set(placement.id, record);
    this.addSuspect(placement);
    for (const {upstream, passMs} of placement.parts) {
      this.markMissedPauses(upstream, passMs);
      this.markMet(upstream, record);
      const records =
        this.byUpstream.get(upstream) ?? new Set<PlacementRecord>();
      records.add(record);
      this.byUpstream.set(upstream, records);
    }
  }

  /** Records the first event of a placement: prefill of all its parts is done. */
  startDecode(id: string, nowMs: number): void {
    const record = this.records.get(id);
    if (record?.phase !== PlacementPhase.PREFILL) return;
    record.phase = PlacementPhase.DECODE;
    for (const {upstream, heldTokens} of record.placement.parts) {
      this.lastPrefillEndsMs.set(upstream, nowMs);
      if (upstream !== record.placement.upstream && heldTokens === 0) {
        this.byUpstream.get(upstream)?.delete(record);
      }
    }
  }

  end(id: string): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    this.records.delete(id);
    this.removeSuspect(record.placement);
    for (const {upstream} of record.placement.parts) {
      const records = this.byUpstream.get(upstream);
      records?.delete(record);
      if (records?.size === 0) this.byUpstream.delete(upstream);
    }
  }

  /** Drops the placements of a host that is gone or whose updates no longer arrive. */
  dropHost(host: string): void {
    for (const [id, {placement}] of this.records) {
      if (placement.host === host) this.end(id);
    }
  }

  /** Returns the open placements at an upstream; drops those that are too old. */
  getUpstreamPlacements(upstream: string, nowMs: number): UpstreamPlacements {
    const records = [...(this.byUpstream.get(upstream) ?? [])];
    for (const record of records) {
      if (nowMs - record.placedAtMs > MAX_AGE_MS) this.end(record.placement.id);
    }
    return {
      records: records.filter(({placement}) => this.records.has(placement.id)),
      lastPrefillEndMs: this.lastPrefillEndsMs.get(upstream) ?? 0,
    };
  }

  /**
   * Whether an upstream runs a suspect.
   *
   * @param fingerprint Suspect that does not count.
   */
  hasSuspect(upstream: string, fingerprint: string, nowMs: number): boolean {
    const {records} = this.getUpstreamPlacements(upstream, nowMs);
    return records.some(({placement}) => isOther(placement, fingerprint));
  }

  /** Whether an upstream runs nothing. */
  isIdle(upstream: string, nowMs: number): boolean {
    return this.getUpstreamPlacements(upstream, nowMs).records.length === 0;
  }

  /** Whether a suspect runs that has not begun its answer. */
  isBeingTried(suspect: string): boolean {
    return this.listTrials(suspect).length > 0;
  }

  /** Whether a suspect runs, also if it has begun its answer. */
  isRunning(suspect: string): boolean {
    return this.suspectIds.has(suspect);
  }

  /**
   * Whether a suspect runs in another placement that goes before this one. All
   * hosts that know both placements agree on which goes first.
   */
  hasTrialBefore(suspect: string, id: string): boolean {
    return this.listTrials(suspect).some(({placement}) => placement.id < id);
  }

  /** Whether no other suspect has met this placement on any upstream. */
  isIsolated(id: string): boolean {
    return this.records.get(id)?.hasMetSuspect === false;
  }

  /** Whether no other placement at all has met this one on any upstream. */
  isAlone(id: string): boolean {
    return this.records.get(id)?.hasMetOther === false;
  }

  /** Drops the prefill times of upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const id of this.lastPrefillEndsMs.keys()) {
      if (!upstreams.has(id)) this.lastPrefillEndsMs.delete(id);
    }
  }

  private addSuspect({id, suspect = ''}: Placement): void {
    if (suspect === '') return;
    const ids = this.suspectIds.get(suspect) ?? new Set<string>();
    this.suspectIds.set(suspect, ids.add(id));
  }

  private removeSuspect({id, suspect = ''}: Placement): void {
    const ids = this.suspectIds.get(suspect);
    ids?.delete(id);
    if (ids?.size === 0) this.suspectIds.delete(suspect);
  }

  private listTrials(suspect: string): PlacementRecord[] {
    const ids = this.suspectIds.get(suspect) ?? [];
    return [...ids]
      .flatMap(id => this.records.get(id) ?? [])
      .filter(({phase}) => phase === PlacementPhase.PREFILL);
  }

  private markMet(upstream: string, added: PlacementRecord): void {
    const {suspect = ''} = added.placement;
    for (const record of this.byUpstream.get(upstream) ?? []) {
      record.hasMetOther = true;
      added.hasMetOther = true;
      if (suspect === '' || !isOther(record.placement, suspect)) continue;
      record.hasMetSuspect = true;
      added.hasMetSuspect = true;
    }
  }

  private markMissedPauses(upstream: string, passMs: number): void {
    for (const record of this.byUpstream.get(upstream) ?? []) {
      const isDecoding = record.phase === PlacementPhase.DECODE;
      if (isDecoding && record.placement.pauseObjectiveMs < passMs) {
        record.hasMissedPauseObjective = true;
      }
    }
  }
}

/** Whether a placement is of a suspect with another fingerprint. */
function isOther({suspect = ''}: Placement, fingerprint: string): boolean {
  return suspect !== '' && suspect !== fingerprint;
}
