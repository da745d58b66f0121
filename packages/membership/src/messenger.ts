import type {
  MemberUpdate,
  MembershipMessage,
  UpstreamWord,
} from '@parsleywood/schema/membership';
import {MemberClaim} from '@parsleywood/schema/membership';
import {describeRecord} from './describe_record.js';
import {GossipQueue} from './gossip_queue.js';
import type {ListHolder} from './host_list_store.js';
import type {MemberTable} from './member_table.js';
import type {MembershipAction} from './membership_action.js';
import {MembershipActionKind} from './membership_action_kind.js';
import type {Probe} from './probe.js';
import type {SelfClaim} from './self_status.js';
import type {UpstreamNews} from './upstream_news.js';
import {UpstreamWords} from './upstream_gossip.js';

const MAX_UPDATES_A_MESSAGE = 8;

/** Builds messages and loads them with the news that is to be spread. */
export class Messenger {
  private readonly gossip = new GossipQueue();
  private readonly words: UpstreamWords;

  constructor(
    private readonly address: string,
    private readonly self: SelfClaim,
    private readonly table: MemberTable,
    private readonly lists: ListHolder,
  ) {
    this.words = new UpstreamWords(self.incarnation.id);
  }

  /** Starts to spread what is held of a host. */
  spread(host: string): void {
    this.gossip.add(host);
  }

  /** Starts to spread news of an upstream, unless it was told already. */
  tellUpstream(upstream: string, news: UpstreamNews, nowMs: number): boolean {
    return this.words.tell(upstream, news, this.table.size, nowMs);
  }

  /** Takes the news of upstreams that a message carries. */
  hearUpstreams(
    message: MembershipMessage,
    host: string,
    nowMs: number,
  ): MembershipAction[] {
    const kind = MembershipActionKind.UPSTREAM_TOLD;
    const actions: MembershipAction[] = [];
    for (const word of message.upstreamWords) {
      const news = this.words.hear(word, this.table.size, nowMs);
      if (news === undefined) continue;
      actions.push({kind, upstream: word.upstream, news, host});
    }
    return actions;
  }

  ping(probe: Probe, nowMs: number): MembershipAction[] {
    const body = {$case: 'ping' as const, value: {probe: probe.id}};
    return this.send(probe.target, nowMs, body);
  }

  /**
   * Builds one message to a host, with what it has to hear of itself first.
   *
   * @param extra Updates to carry besides.
   * @param address Where to send it when the host is not listed.
   */
  send(
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
    return this.sendAt(target, to, updates, this.words.take(), body);
  }

  /** Builds one message to an address, whatever host is listed there. */
  sendAt(
    address: string,
    to: string,
    updates: MemberUpdate[],
    upstreamWords: UpstreamWord[] = [],
    body?: MembershipMessage['body'],
  ): MembershipAction[] {
    const {refutation, leaving} = this.self.describe();
    const message = {
      refutation,
      leaving,
      address: this.address,
      listRevision: this.lists.revision,
      updates,
      upstreamWords,
      body,
    };
    return [{kind: MembershipActionKind.SEND, to, address, message}];
  }

  /** Names of the other hosts that are not held dead. */
  liveHosts(): string[] {
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
    const spread = this.gossip.take(MAX_UPDATES_A_MESSAGE, this.table.size);
    for (const host of spread) names.add(host);
    return [...names].flatMap(host => this.describe(host, nowMs));
  }

  private describe(host: string, nowMs: number): MemberUpdate[] {
    if (host === this.self.incarnation.host) return [this.self.describe()];
    const record = this.table.get(host);
    return record ? [describeRecord(record, nowMs)] : [];
  }
}
