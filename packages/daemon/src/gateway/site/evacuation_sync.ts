import {
  comparePositions,
  type SiteChange,
  type SiteDelta,
  type SiteReplica,
  type SiteSnapshot,
  type StorePosition,
} from '@parsleywood/forwarding';
import type {Clock} from '../../host/clock.js';
import type {EventLog} from '../../host/event_log.js';
import {EvacuationLog} from './evacuation_log.js';

/**
 * Time between two answers of the store after which a host may not have watched it all
 * the time: a watch of 2.5 s and its answer.
 */
const WATCH_GAP_MS = 3_500;
/** Origin of what the store itself told. */
const STORE_ORIGIN = 'store';

/**
 * Applies the evacuations of failure domains that the store and the peers tell, and
 * knows where they may have been missed: hosts of earlier versions pass none on.
 */
export class EvacuationSync {
  /** Age of the oldest change that the last answer of the store may tell, at most. */
  private changeAgeMs = Infinity;
  private lacksListSinceMs = Infinity;
  private readonly evacuationLog: EvacuationLog;

  constructor(
    private readonly replica: SiteReplica,
    private readonly clock: Clock,
    log: EventLog,
  ) {
    this.evacuationLog = new EvacuationLog(replica, log);
  }

  /** Position up to which all evacuations are known. */
  get position(): StorePosition {
    return this.replica.evacuations.position;
  }

  /** Whether evacuations may have been missed. */
  get isBehind(): boolean {
    return this.replica.lacksEvacuations;
  }

  /** Position from which the store is watched, so that it tells what was missed. */
  get watchPosition(): StorePosition {
    return this.isBehind && !this.needsList
      ? this.position
      : this.replica.position;
  }

  /**
   * Time since it was first asked whether only a list tells what has been missed;
   * undefined if nothing is missing, or a watch tells it.
   */
  measureListLackMs(): number | undefined {
    const nowMs = this.clock.nowMs();
    const sinceMs = this.needsList
      ? Math.min(this.lacksListSinceMs, nowMs)
      : Infinity;
    this.lacksListSinceMs = sinceMs;
    return sinceMs === Infinity ? undefined : nowMs - sinceMs;
  }

  /**
   * Records an answer of the store.
   *
   * @param gapMs Time since the answer before.
   * @param hasFailed Whether a call failed since.
   */
  recordResponse(gapMs: number, hasFailed: boolean): void {
    this.changeAgeMs = hasFailed || gapMs >= WATCH_GAP_MS ? gapMs : 0;
  }

  /** Completes a snapshot: a source that tells no evacuations changes none. */
  completeSnapshot(snapshot: SiteSnapshot, origin: string): SiteSnapshot {
    const isUnchanged =
      snapshot.evacuatedDomains === undefined && origin === STORE_ORIGIN;
    if (!isUnchanged) return snapshot;
    return {...snapshot, evacuatedDomains: this.replica.evacuations.list()};
  }

  /** Completes what the store has published since the position of the watch. */
  completeChange(change: SiteChange, mayHaveExpired: boolean): SiteDelta {
    const {revision} = this.replica.position;
    const isFollowed = !this.needsList && this.position.epoch === change.epoch;
    return {
      // A source that tells no evacuations changes none.
      evacuated: [],
      restored: [],
      ...change,
      fromRevision: isFollowed
        ? Math.min(revision, this.position.revision)
        : revision,
      mayHaveExpired,
      evacuationAgeMs: this.changeAgeMs,
    };
  }

  /**
   * Applies the evacuations of a delta, whatever the position of the other state.
   *
   * @param origin Source of the delta, for the log.
   * @return Whether evacuations are known further than before.
   */
  applyDelta(delta: SiteDelta, origin: string): boolean {
    const before = this.position;
    this.replica.applyEvacuations(delta, this.clock.nowMs());
    this.recordChanges(origin);
    return comparePositions(this.position, before) > 0;
  }

  /** Logs what has begun and ended. */
  recordChanges(origin: string): void {
    this.evacuationLog.record(origin, this.clock.nowMs());
  }

  /** Adds to a delta how long ago its evacuations began, for a peer. */
  stampAge({evacuationAgeMs: _earlier, ...delta}: SiteDelta): SiteDelta {
    const nowMs = this.clock.nowMs();
    const {evacuations} = this.replica;
    const oldestMs = Math.max(
      ...(delta.evacuated ?? []).map(domain =>
        evacuations.getMoveAgeMs(domain, nowMs),
      ),
    );
    const isKnown = Number.isFinite(oldestMs);
    return isKnown ? {...delta, evacuationAgeMs: oldestMs} : delta;
  }

  /**
   * Describes the evacuations that a copy of the store lacks, for a host that started
   * after it; undefined if there are none.
   */
  describeHeld(): SiteDelta | undefined {
    const {replica, clock} = this;
    const held = replica.evacuations.listHeld(clock.nowMs());
    if (held.length === 0) return undefined;
    const {epoch, revision} = replica.position;
    return {
      epoch,
      revision,
      fromRevision: revision,
      mayHaveExpired: false,
      updated: [],
      removed: [],
      heldEvacuations: held,
    };
  }

  /** Whether only a list of the store tells what has been missed. */
  private get needsList(): boolean {
    const {epoch, revision} = this.position;
    const isOtherEpoch = epoch !== this.replica.position.epoch;
    return this.isBehind && (isOtherEpoch || revision === 0);
  }
}
