import type {MemberUpdate, SyncQuery} from '@parsleywood/schema/membership';
import {describeRecord} from './describe_record.js';
import {digestMembers} from './digest_members.js';
import type {MemberTable} from './member_table.js';
import type {MembershipAction} from './membership_action.js';
import type {Messenger} from './messenger.js';
import type {Random} from './random.js';
import type {SelfClaim} from './self_status.js';

const FIRST_INTERVAL_MS = 1_000;
const MAX_INTERVAL_MS = 30_000;
const FIRST_QUERIES = 2;

/** Compares whole tables now and then, and at the start of an incarnation. */
export class Synchronizer {
  private synced = false;
  private nextQueryMs = -Infinity;
  private intervalMs = FIRST_INTERVAL_MS;

  constructor(
    private readonly self: SelfClaim,
    private readonly table: MemberTable,
    private readonly messenger: Messenger,
    private readonly random: Random,
  ) {}

  /** Asks peers for their tables when it is time. */
  advance(nowMs: number): MembershipAction[] {
    if (nowMs < this.nextQueryMs) return [];
    const digest = this.synced ? digestMembers(this.describeAll(nowMs)) : '';
    const queries = this.synced ? 1 : FIRST_QUERIES;
    const body = {$case: 'syncQuery' as const, value: {digest}};
    this.nextQueryMs = nowMs + this.intervalMs;
    this.intervalMs = Math.min(MAX_INTERVAL_MS, 2 * this.intervalMs);
    return this.random
      .sample(this.messenger.liveHosts(), queries)
      .flatMap(host => this.messenger.send(host, nowMs, body));
  }

  /** Answers a peer whose table differs. */
  answer(
    to: string,
    query: SyncQuery,
    address: string,
    nowMs: number,
  ): MembershipAction[] {
    const members = this.describeAll(nowMs);
    if (query.digest === digestMembers(members)) return [];
    const value = {members, answer: true};
    const body = {$case: 'syncState' as const, value};
    return this.messenger.send(to, nowMs, body, [], address);
  }

  /** Takes a peer's table and gives back what is known better. */
  take(
    from: string,
    members: readonly MemberUpdate[],
    answer: boolean,
    nowMs: number,
  ): MembershipAction[] {
    this.synced = true;
    if (!answer) return [];
    const theirs = new Map(members.map(member => [member.host, member]));
    const better = this.describeAll(nowMs).filter(
      mine => digestMembers([mine]) !== digestOf(theirs.get(mine.host)),
    );
    if (better.length === 0) return [];
    const value = {members: better, answer: false};
    return this.messenger.send(from, nowMs, {$case: 'syncState', value});
  }

  private describeAll(nowMs: number): MemberUpdate[] {
    const known = [...this.table.all()].filter(({incarnation}) => incarnation);
    const others = known.map(record => describeRecord(record, nowMs));
    return [this.self.describe(), ...others];
  }
}

function digestOf(member: MemberUpdate | undefined): string {
  return member === undefined ? '' : digestMembers([member]);
}
