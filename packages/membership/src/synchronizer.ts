import type {MemberUpdate, SyncQuery} from '@parsleywood/schema/membership';
import {describeRecord} from './describe_record.js';
import {digestMembers} from './digest_members.js';
import type {MemberTable} from './member_table.js';
import type {MembershipAction} from './membership_action.js';
import type {Messenger} from './messenger.js';
import type {Random} from './random.js';
import type {SelfStatus} from './self_status.js';

const FIRST_QUERY_INTERVAL_MS = 1_000;
const MAX_QUERY_INTERVAL_MS = 30_000;
const FIRST_QUERY_COUNT = 2;

/** Compares full member tables with peers at start and then periodically. */
export class Synchronizer {
  private hasSynced = false;
  private nextQueryMs = -Infinity;
  private intervalMs = FIRST_QUERY_INTERVAL_MS;

  constructor(
    private readonly self: SelfStatus,
    private readonly table: MemberTable,
    private readonly messenger: Messenger,
    private readonly random: Random,
  ) {}

  /** Queries random peers for their tables when the next query is due. */
  queryIfDue(nowMs: number): MembershipAction[] {
    if (nowMs < this.nextQueryMs) return [];
    const digest = this.hasSynced
      ? digestMembers(this.buildAllUpdates(nowMs))
      : '';
    const queries = this.hasSynced ? 1 : FIRST_QUERY_COUNT;
    const body = {$case: 'syncQuery' as const, value: {digest}};
    this.nextQueryMs = nowMs + this.intervalMs;
    this.intervalMs = Math.min(MAX_QUERY_INTERVAL_MS, 2 * this.intervalMs);
    return this.random
      .sample(this.messenger.listLiveHosts(), queries)
      .flatMap(host => this.messenger.buildMessage(host, nowMs, body));
  }

  /** Sends the full table if the digest in the query differs. */
  answerQuery(
    to: string,
    query: SyncQuery,
    address: string,
    nowMs: number,
  ): MembershipAction[] {
    const members = this.buildAllUpdates(nowMs);
    if (query.digest === digestMembers(members)) return [];
    const value = {members, answer: true};
    const body = {$case: 'syncState' as const, value};
    return this.messenger.buildMessage(to, nowMs, body, [], address);
  }

  /** Handles a peer's table; replies to an answer with differing entries. */
  handleTable(
    from: string,
    members: readonly MemberUpdate[],
    isAnswer: boolean,
    nowMs: number,
  ): MembershipAction[] {
    this.hasSynced = true;
    if (!isAnswer) return [];
    const peerUpdates = new Map(members.map(member => [member.host, member]));
    const differing = this.buildAllUpdates(nowMs).filter(
      own => digestMembers([own]) !== digestMember(peerUpdates.get(own.host)),
    );
    if (differing.length === 0) return [];
    const value = {members: differing, answer: false};
    return this.messenger.buildMessage(from, nowMs, {
      $case: 'syncState',
      value,
    });
  }

  private buildAllUpdates(nowMs: number): MemberUpdate[] {
    const known = [...this.table.all()].filter(({incarnation}) => incarnation);
    const others = known.map(record => describeRecord(record, nowMs));
    return [this.self.buildUpdate(), ...others];
  }
}

function digestMember(member: MemberUpdate | undefined): string {
  return member === undefined ? '' : digestMembers([member]);
}
