import type {Placement} from './placement.js';
import {PlacementPhase} from './placement_phase.js';
import type {PlacementRecord} from './placement_record.js';
import type {UpstreamWork} from './upstream_placements.js';

/** Age at which a placement whose end was never told is dropped. */
const MAX_AGE_MS = 20_000;

/**
 * What all hosts have placed at upstreams and not yet seen the end of. Reports of
 * upstreams lag; this is what they will say.
 */
export class PlacementBook {
  private readonly records = new Map<string, PlacementRecord>();
  private readonly byUpstream = new Map<string, Set<PlacementRecord>>();
  private readonly lastReadEnds = new Map<string, number>();

  get size(): number {
    return this.records.size;
  }

  add(placement: Placement, nowMs: number): void {
    if (this.records.has(placement.id)) return;
    const record: PlacementRecord = {
      placement,
      placedAtMs: nowMs,
      phase: PlacementPhase.READING,
      hasPaused: false,
    };
    this.records.set(placement.id, record);
    for (const {upstream, passMs} of placement.parts) {
      this.notePause(upstream, passMs);
      const own = this.byUpstream.get(upstream) ?? new Set<PlacementRecord>();
      own.add(record);
      this.byUpstream.set(upstream, own);
    }
  }

  /** The first event of a placement came: all its parts are read. */
  startWriting(id: string, nowMs: number): void {
    const record = this.records.get(id);
    if (record?.phase !== PlacementPhase.READING) return;
    record.phase = PlacementPhase.WRITING;
    for (const {upstream, heldTokens} of record.placement.parts) {
      this.lastReadEnds.set(upstream, nowMs);
      if (upstream !== record.placement.upstream && heldTokens === 0) {
        this.byUpstream.get(upstream)?.delete(record);
      }
    }
  }

  end(id: string): void {
    const record = this.records.get(id);
    if (record === undefined) return;
    this.records.delete(id);
    for (const {upstream} of record.placement.parts) {
      const own = this.byUpstream.get(upstream);
      own?.delete(record);
      if (own?.size === 0) this.byUpstream.delete(upstream);
    }
  }

  /** Forgets what a host placed that is gone, or whose news are cut off. */
  dropHost(host: string): void {
    for (const [id, {placement}] of this.records) {
      if (placement.host === host) this.end(id);
    }
  }

  work(upstream: string, nowMs: number): UpstreamWork {
    const records = [...(this.byUpstream.get(upstream) ?? [])];
    for (const record of records) {
      if (nowMs - record.placedAtMs > MAX_AGE_MS) this.end(record.placement.id);
    }
    return {
      records: records.filter(({placement}) => this.records.has(placement.id)),
      lastReadEndMs: this.lastReadEnds.get(upstream) ?? 0,
    };
  }

  /** Forgets what is kept of upstreams that are no longer listed. */
  retain(upstreams: ReadonlySet<string>): void {
    for (const name of this.lastReadEnds.keys()) {
      if (!upstreams.has(name)) this.lastReadEnds.delete(name);
    }
  }

  private notePause(upstream: string, passMs: number): void {
    for (const record of this.byUpstream.get(upstream) ?? []) {
      const isWriting = record.phase === PlacementPhase.WRITING;
      if (isWriting && record.placement.pauseObjectiveMs < passMs) {
        record.hasPaused = true;
      }
    }
  }
}
