import type {HostList} from '@parsleywood/schema/host_list';
import {MemberClaim, type MemberUpdate} from '@parsleywood/schema/membership';
import {compareIncarnations} from './compare_incarnations.js';
import type {Member} from './member.js';
import type {MemberRecord} from './member_record.js';
import {MemberState} from './member_state.js';
import type {MembershipAction} from './membership_action.js';
import {MembershipActionKind} from './membership_action_kind.js';
import type {MembershipSettings} from './membership_settings.js';
import {overridesClaim} from './overrides_claim.js';
import {repeatsSuspicion} from './repeats_suspicion.js';
import {resolveState} from './resolve_state.js';

const {
  MEMBER_CLAIM_ALIVE: ALIVE,
  MEMBER_CLAIM_SUSPECTED: SUSPECTED,
  MEMBER_CLAIM_DEAD: DEAD,
  MEMBER_CLAIM_STOPPED: STOPPED,
} = MemberClaim;

/**
 * Multiplies the dead timeout of a host without a known incarnation: when the
 * whole site is starting, the host may not be up yet.
 */
const FIRST_CONTACT_TIMEOUT_FACTOR = 3;

/** The other hosts of the site, with the latest claim known for each. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();
  private readonly suspects = new Set<MemberRecord>();
  private readonly unreported = new Set<MemberRecord>();
  private pendingDeaths: MembershipAction[] = [];
  private changeCount = 0;

  constructor(
    private readonly self: string,
    private readonly settings: MembershipSettings,
  ) {}

  /** Increases with every change; equal versions mean an unchanged table. */
  get version(): number {
    return this.changeCount;
  }

  get(host: string): MemberRecord | undefined {
    return this.records.get(host);
  }

  all(): IterableIterator<MemberRecord> {
    return this.records.values();
  }

  get size(): number {
    return this.records.size;
  }

  /** Applies the entries of a host list; absent hosts become unlisted. */
  applyList(list: HostList, nowMs: number): void {
    const names = new Set<string>();
    for (const listed of list.hosts) {
      if (listed.name === this.self) continue;
      names.add(listed.name);
      const record =
        this.records.get(listed.name) ?? this.addRecord(listed, nowMs);
      record.address = listed.peers;
      record.failureDomain = listed.failureDomain;
      record.listed = true;
      record.listedLeaving = listed.state === 'leaving';
      this.commitChange(record);
    }
    for (const record of this.records.values()) {
      if (names.has(record.host)) continue;
      record.listed = false;
      this.commitChange(record);
    }
  }

  /**
   * Merges a claim received from a peer.
   *
   * @return Whether it told this host something new.
   */
  applyUpdate(update: MemberUpdate, nowMs: number): boolean {
    const record = this.records.get(update.host);
    if (record === undefined) return false;
    const comparison = compareIncarnations(
      update.incarnation,
      record.incarnation,
    );
    if (comparison < 0) return false;
    if (comparison > 0) this.replaceIncarnation(record, update);
    const merged = this.mergeUpdate(record, update, nowMs);
    return merged || comparison > 0;
  }

  /** Returns false if the incarnation was already suspected or dead. */
  markSuspected(record: MemberRecord, silentSinceMs: number): boolean {
    if (record.claim !== ALIVE) return false;
    record.claim = SUSPECTED;
    record.silentSinceMs = silentSinceMs;
    this.commitChange(record);
    return true;
  }

  /** Declares suspects dead whose timeout has expired, and returns them. */
  expireSuspects(nowMs: number): MemberRecord[] {
    const expired: MemberRecord[] = [];
    for (const record of this.suspects) {
      if (this.computeExpiryMs(record) > nowMs) continue;
      record.claim = DEAD;
      expired.push(record);
    }
    for (const record of expired) this.commitChange(record);
    return expired;
  }

  /** When the next suspect is to be declared dead; Infinity for none. */
  nextExpiryMs(): number {
    let earliest = Infinity;
    for (const record of this.suspects) {
      earliest = Math.min(earliest, this.computeExpiryMs(record));
    }
    return earliest;
  }

  /** Extends all suspicion timeouts after a pause of this process. */
  extendSuspicions(byMs: number): void {
    for (const record of this.suspects) record.silentSinceMs += byMs;
  }

  /** Returns the state changes since the last call. */
  takeChanges(): MembershipAction[] {
    const changes = this.pendingDeaths;
    this.pendingDeaths = [];
    for (const record of this.unreported) this.appendChange(record, changes);
    this.unreported.clear();
    return changes;
  }

  snapshot(): Member[] {
    return [...this.records.values()].map(record => ({
      host: record.host,
      incarnation: record.incarnation,
      state: resolveState(record),
      address: record.address,
      failureDomain: record.failureDomain,
      listed: record.listed,
    }));
  }

  private computeExpiryMs(record: MemberRecord): number {
    const timeoutFactor =
      record.incarnation === '' ? FIRST_CONTACT_TIMEOUT_FACTOR : 1;
    return record.silentSinceMs + timeoutFactor * this.settings.deadAfterMs;
  }

  private addRecord(
    listed: HostList['hosts'][number],
    nowMs: number,
  ): MemberRecord {
    const record: MemberRecord = {
      host: listed.name,
      address: listed.peers,
      failureDomain: listed.failureDomain,
      listed: true,
      listedLeaving: false,
      incarnation: '',
      refutation: 0,
      claim: SUSPECTED,
      leaving: false,
      silentSinceMs: nowMs,
      lastAckMs: -Infinity,
      reportedProved: false,
    };
    this.records.set(listed.name, record);
    return record;
  }

  private replaceIncarnation(record: MemberRecord, update: MemberUpdate): void {
    if (record.incarnation !== '' && !record.reportedProved) {
      this.pendingDeaths.push(
        buildDeathAction(record.host, record.incarnation, true),
      );
    }
    record.incarnation = update.incarnation;
    record.refutation = update.refutation;
    record.claim = ALIVE;
    record.leaving = false;
    record.lastAckMs = -Infinity;
    record.reported = undefined;
    record.reportedProved = false;
    this.commitChange(record);
  }

  private mergeUpdate(
    record: MemberRecord,
    update: MemberUpdate,
    nowMs: number,
  ) {
    let changed = false;
    if (update.leaving && !record.leaving) {
      record.leaving = true;
      changed = true;
    }
    if (overridesClaim(record, update)) {
      record.claim = update.claim;
      record.refutation = Math.max(record.refutation, update.refutation);
      record.silentSinceMs = nowMs - update.silentMs;
      changed = true;
    } else if (repeatsSuspicion(record, update)) {
      const silentSinceMs = nowMs - update.silentMs;
      record.silentSinceMs = Math.min(record.silentSinceMs, silentSinceMs);
    }
    if (changed) this.commitChange(record);
    return changed;
  }

  /** Marks a change; removes an unlisted host that is dead or never seen. */
  private commitChange(record: MemberRecord): void {
    this.changeCount++;
    this.unreported.add(record);
    if (record.claim === SUSPECTED) this.suspects.add(record);
    else this.suspects.delete(record);
    if (record.listed) return;
    if (record.claim < DEAD && record.incarnation !== '') return;
    record.claim = Math.max(record.claim, DEAD);
    this.suspects.delete(record);
    this.records.delete(record.host);
  }

  private appendChange(
    record: MemberRecord,
    changes: MembershipAction[],
  ): void {
    const state = resolveState(record);
    const proved = record.claim === STOPPED;
    if (state === record.reported && proved === record.reportedProved) return;
    record.reported = state;
    record.reportedProved = proved;
    if (state === MemberState.DEAD) {
      changes.push(buildDeathAction(record.host, record.incarnation, proved));
      return;
    }
    changes.push({
      kind: MembershipActionKind.MEMBER_CHANGED,
      host: record.host,
      incarnation: record.incarnation,
      state,
      proved: false,
    });
  }
}

function buildDeathAction(
  host: string,
  incarnation: string,
  proved: boolean,
): MembershipAction {
  return {
    kind: MembershipActionKind.MEMBER_CHANGED,
    host,
    incarnation,
    state: MemberState.DEAD,
    proved,
  };
}
