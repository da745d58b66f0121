import type {
  MemberUpdate,
  MembershipMessage,
  UpstreamWord,
} from '@parsleywood/schema/membership';
import {MemberClaim} from '@parsleywood/schema/membership';
import {describeRecord} from './describe_record.js';
import {GossipQueue} from './gossip_queue.js';
import type {HostListStore} from './host_list_store.js';
import type {MemberTable} from './member_table.js';
import type {MembershipAction} from './membership_action.js';
import {MembershipActionKind} from './membership_action_kind.js';
import type {Probe} from './probe.js';
import type {SelfStatus} from './self_status.js';
import type {UpstreamNews} from './upstream_news.js';
import {UpstreamGossip} from './upstream_gossip.js';

const MAX_UPDATES_PER_MESSAGE = 8;

/** Builds messages and piggybacks queued gossip on them. */
export class Messenger {
  private readonly gossip = new GossipQueue();
  private readonly upstreamGossip: UpstreamGossip;

  constructor(
    private readonly address: string,
    private readonly self: SelfStatus,
    private readonly table: MemberTable,
    private readonly hostLists: HostListStore,
  ) {
    this.upstreamGossip = new UpstreamGossip(self.incarnation.id);
  }

  /** Queues a host's current record for gossip. */
  queue(host: string): void {
    this.gossip.add(host);
  }

  /** Queues news of an upstream for gossip, unless it was reported recently. */
  publishUpstreamNews(
    upstream: string,
    news: UpstreamNews,
    nowMs: number,
  ): boolean {
    return this.upstreamGossip.publish(upstream, news, this.table.size, nowMs);
  }

  /** Processes the upstream reports in a message. */
  receiveUpstreamNews(
    message: MembershipMessage,
    host: string,
    nowMs: number,
  ): MembershipAction[] {
    const kind = MembershipActionKind.UPSTREAM_REPORTED;
    const actions: MembershipAction[] = [];
    for (const report of message.upstreamWords) {
      const news = this.upstreamGossip.receive(report, this.table.size, nowMs);
      if (news === undefined) continue;
      actions.push({kind, upstream: report.upstream, news, host});
    }
    return actions;
  }

  buildPing(probe: Probe, nowMs: number): MembershipAction[] {
    const body = {$case: 'ping' as const, value: {probe: probe.id}};
    return this.buildMessage(probe.target, nowMs, body);
  }

  /**
   * Builds one message to a host. If this host holds the receiver suspected or
   * dead, the message includes that claim, so that the receiver can refute it.
   *
   * @param extra Updates to send in addition to the queued ones.
   * @param address Fallback address if the host is not in the table.
   */
  buildMessage(
    to: string,
    nowMs: number,
    body?: MembershipMessage['body'],
    extra: MemberUpdate[] = [],
    address = '',
  ): MembershipAction[] {
    const record = this.table.get(to);
    const target = record?.address ?? address;
    if (target === '') return [];
    const updates = [...extra, ...this.takeUpdates(to, nowMs)];
    return this.buildMessageTo(
      target,
      to,
      updates,
      this.upstreamGossip.takeForMessage(),
      body,
    );
  }

  /** Builds one message to an explicit address, regardless of the host list. */
  buildMessageTo(
    address: string,
    to: string,
    updates: MemberUpdate[],
    upstreamWords: UpstreamWord[] = [],
    body?: MembershipMessage['body'],
  ): MembershipAction[] {
    const {refutation, leaving} = this.self.buildUpdate();
    const message = {
      refutation,
      leaving,
      address: this.address,
      listRevision: this.hostLists.revision,
      updates,
      upstreamWords,
      body,
    };
    return [{kind: MembershipActionKind.SEND, to, address, message}];
  }

  /** Names of the other hosts that are not declared dead. */
  listLiveHosts(): string[] {
    const hosts: string[] = [];
    for (const record of this.table.all()) {
      if (record.claim < MemberClaim.MEMBER_CLAIM_DEAD) hosts.push(record.host);
    }
    return hosts;
  }

  private takeUpdates(to: string, nowMs: number): MemberUpdate[] {
    const names = new Set<string>();
    const record = this.table.get(to);
    const isAlive = record?.claim === MemberClaim.MEMBER_CLAIM_ALIVE;
    if (!isAlive && record?.incarnation) names.add(to);
    const queued = this.gossip.takeForMessage(
      MAX_UPDATES_PER_MESSAGE,
      this.table.size,
    );
    for (const host of queued) names.add(host);
    return [...names].flatMap(host => this.buildUpdates(host, nowMs));
  }

  private buildUpdates(host: string, nowMs: number): MemberUpdate[] {
    if (host === this.self.incarnation.host) return [this.self.buildUpdate()];
    const record = this.table.get(host);
    return record ? [describeRecord(record, nowMs)] : [];
  }
}
