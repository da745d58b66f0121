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

const FIRST_CONTACT_WAITS = 3; // a whole site may be starting

/** All other hosts of the site and the claims held of them. */
export class MemberTable {
  private readonly records = new Map<string, MemberRecord>();
  private readonly suspects = new Set<MemberRecord>();
  private readonly dirty = new Set<MemberRecord>();
  private ended: MembershipAction[] = [];
  private version = 0;

  constructor(
    private readonly self: string,
    private readonly settings: MembershipSettings,
  ) {}

  /** Counts the changes; equal versions mean an equal table. */
  get changes(): number {
    return this.version;
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

  /** Takes over the names, addresses and leaving marks of a list. */
  adoptList(list: HostList, nowMs: number): void {
    const names = new Set<string>();
    for (const listed of list.hosts) {
      if (listed.name === this.self) continue;
      names.add(listed.name);
      const record = this.records.get(listed.name) ?? this.add(listed, nowMs);
      record.address = listed.peers;
      record.failureDomain = listed.failureDomain;
      record.listed = true;
      record.listedLeaving = listed.state === 'leaving';
      this.touch(record);
    }
    for (const record of this.records.values()) {
      if (names.has(record.host)) continue;
      record.listed = false;
      this.touch(record);
    }
  }

  /**
   * Merges a claim of a peer.
   *
   * @return Whether it was news.
   */
  apply(update: MemberUpdate, nowMs: number): boolean {
    const record = this.records.get(update.host);
    if (record === undefined) return false;
    const order = compareIncarnations(update.incarnation, record.incarnation);
    if (order < 0) return false;
    if (order > 0) this.supersede(record, update);
    const merged = this.merge(record, update, nowMs);
    return merged || order > 0;
  }

  /** Suspects the incarnation held of a host. */
  suspect(record: MemberRecord, silentSinceMs: number): boolean {
    if (record.claim !== ALIVE) return false;
    record.claim = SUSPECTED;
    record.silentSinceMs = silentSinceMs;
    this.touch(record);
    return true;
  }

  /** Declares suspects dead whose time is over. */
  expire(nowMs: number): MemberRecord[] {
    const expired: MemberRecord[] = [];
    for (const record of this.suspects) {
      if (this.expiryOf(record) > nowMs) continue;
      record.claim = DEAD;
      expired.push(record);
    }
    for (const record of expired) this.touch(record);
    return expired;
  }

  /** When the next suspect is to be declared dead; Infinity for none. */
  nextExpiryMs(): number {
    let earliest = Infinity;
    for (const record of this.suspects) {
      earliest = Math.min(earliest, this.expiryOf(record));
    }
    return earliest;
  }

  /** Gives all suspects more time, after this process was paused itself. */
  extendSuspicions(byMs: number): void {
    for (const record of this.suspects) record.silentSinceMs += byMs;
  }

  /** Gives the state changes since the last call. */
  takeChanges(): MembershipAction[] {
    const changes = this.ended;
    this.ended = [];
    for (const record of this.dirty) this.report(record, changes);
    this.dirty.clear();
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

  private expiryOf(record: MemberRecord): number {
    const waits = record.incarnation === '' ? FIRST_CONTACT_WAITS : 1;
    return record.silentSinceMs + waits * this.settings.deadAfterMs;
  }

  private add(listed: HostList['hosts'][number], nowMs: number): MemberRecord {
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

  private supersede(record: MemberRecord, update: MemberUpdate): void {
    if (record.incarnation !== '' && !record.reportedProved) {
      this.ended.push(endOf(record.host, record.incarnation, true));
    }
    record.incarnation = update.incarnation;
    record.refutation = update.refutation;
    record.claim = ALIVE;
    record.leaving = false;
    record.lastAckMs = -Infinity;
    record.reported = undefined;
    record.reportedProved = false;
    this.touch(record);
  }

  private merge(record: MemberRecord, update: MemberUpdate, nowMs: number) {
    let news = false;
    if (update.leaving && !record.leaving) {
      record.leaving = true;
      news = true;
    }
    if (overridesClaim(record, update)) {
      record.claim = update.claim;
      record.refutation = Math.max(record.refutation, update.refutation);
      record.silentSinceMs = nowMs - update.silentMs;
      news = true;
    } else if (repeatsSuspicion(record, update)) {
      const silentSinceMs = nowMs - update.silentMs;
      record.silentSinceMs = Math.min(record.silentSinceMs, silentSinceMs);
    }
    if (news) this.touch(record);
    return news;
  }

  private touch(record: MemberRecord): void {
    this.version++;
    this.dirty.add(record);
    if (record.claim === SUSPECTED) this.suspects.add(record);
    else this.suspects.delete(record);
    if (record.listed) return;
    if (record.claim < DEAD && record.incarnation !== '') return;
    record.claim = Math.max(record.claim, DEAD);
    this.suspects.delete(record);
    this.records.delete(record.host);
  }

  private report(record: MemberRecord, changes: MembershipAction[]): void {
    const state = resolveState(record);
    const proved = record.claim === STOPPED;
    if (state === record.reported && proved === record.reportedProved) return;
    record.reported = state;
    record.reportedProved = proved;
    if (state === MemberState.DEAD) {
      changes.push(endOf(record.host, record.incarnation, proved));
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

function endOf(
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
