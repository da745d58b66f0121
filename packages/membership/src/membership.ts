import type {Decision} from '@parsleywood/types';
import type {HostList} from '@parsleywood/schema/host_list';
import {ListHolder} from './host_list_store.js';
import type {Member} from './member.js';
import {MemberTable} from './member_table.js';
import type {MembershipAction} from './membership_action.js';
import {MembershipActionKind} from './membership_action_kind.js';
import type {MembershipEvent} from './membership_event.js';
import {MembershipEventKind} from './membership_event_kind.js';
import type {MembershipOptions} from './membership_options.js';
import type {MembershipSettings} from './membership_settings.js';
import {Messenger} from './messenger.js';
import {Prober} from './prober.js';
import {Random} from './random.js';
import {Receiver} from './message_handler.js';
import {SelfClaim} from './self_status.js';
import {Synchronizer} from './synchronizer.js';
import {UpstreamNews} from './upstream_news.js';

const INDIRECT_AFTER_INTERVALS = 0.4;
const STALL_INTERVALS = 0.5;
const RELAYS_PER_PROBE = 3;
const URGENT_RECEIVERS = 8;

/** Tells which hosts of the site are alive, suspected, leaving or dead. */
export class Membership implements Decision<MembershipEvent, MembershipAction> {
  private readonly settings: MembershipSettings;
  private readonly random: Random;
  private readonly table: MemberTable;
  private readonly lists = new ListHolder();
  private readonly self: SelfClaim;
  private readonly prober: Prober;
  private readonly messenger: Messenger;
  private readonly synchronizer: Synchronizer;
  private readonly receiver: Receiver;
  private nextRoundMs = Infinity;
  private nextIndirectMs = Infinity;

  constructor(private readonly options: MembershipOptions) {
    const {self, address, seed} = options;
    this.settings = {...options.settings};
    this.random = new Random(seed);
    this.table = new MemberTable(self.host, this.settings);
    this.self = new SelfClaim(self);
    this.prober = new Prober(self.host, this.table, this.settings, this.random);
    this.messenger = new Messenger(address, this.self, this.table, this.lists);
    this.synchronizer = new Synchronizer(
      this.self,
      this.table,
      this.messenger,
      this.random,
    );
    this.receiver = new Receiver({
      self: this.self,
      table: this.table,
      lists: this.lists,
      prober: this.prober,
      messenger: this.messenger,
      synchronizer: this.synchronizer,
      settings: this.settings,
    });
  }

  handle(event: MembershipEvent, nowMs: number): MembershipAction[] {
    const actions = this.noticeStall(nowMs);
    actions.push(...this.take(event, nowMs));
    actions.push(...this.advance(nowMs));
    return [...this.table.takeChanges(), ...actions];
  }

  wakeAtMs(): number {
    return Math.min(
      this.nextRoundMs,
      this.nextIndirectMs,
      this.table.nextExpiryMs(),
    );
  }

  /** All other hosts of the site as this one sees them. */
  members(): Member[] {
    return this.table.snapshot();
  }

  private take(event: MembershipEvent, nowMs: number): MembershipAction[] {
    switch (event.kind) {
      case MembershipEventKind.LIST:
        return this.takeList(event.list, event.revision, nowMs);
      case MembershipEventKind.SETTINGS:
        Object.assign(this.settings, event.settings);
        return [];
      case MembershipEventKind.MESSAGE:
        return this.takeMessage(event, nowMs);
      case MembershipEventKind.REFUSED:
        return this.receiver.refuse(event.host, event.incarnation, nowMs);
      case MembershipEventKind.SELF_LEAVING:
        this.self.leave();
        return this.announce(nowMs);
      case MembershipEventKind.SELF_STOPPED:
        this.self.stop();
        return this.announce(nowMs);
      case MembershipEventKind.UPSTREAM_NEWS:
        return this.tellUpstream(event.upstream, event.news, nowMs);
      case MembershipEventKind.WAKE:
        return [];
    }
  }

  /** A late wake means that this process was paused, not the others. */
  private noticeStall(nowMs: number): MembershipAction[] {
    const stalledMs = nowMs - this.wakeAtMs();
    const {probeIntervalMs} = this.settings;
    if (!(stalledMs > probeIntervalMs * STALL_INTERVALS)) return [];
    this.table.extendSuspicions(stalledMs);
    this.prober.forgive();
    this.nextIndirectMs = Infinity;
    this.nextRoundMs = nowMs + probeIntervalMs * STALL_INTERVALS;
    return [{kind: MembershipActionKind.STALLED, stalledMs}];
  }

  private takeList(
    list: HostList,
    revision: number,
    nowMs: number,
  ): MembershipAction[] {
    if (!this.lists.adopt(list, revision)) return [];
    this.table.adoptList(list, nowMs);
    if (this.nextRoundMs === Infinity) {
      const {probeIntervalMs} = this.settings;
      this.nextRoundMs = nowMs + this.random.drawBelow(probeIntervalMs);
    }
    return [{kind: MembershipActionKind.LIST_ADOPTED, list, revision}];
  }

  private takeMessage(
    event: MembershipEvent & {kind: MembershipEventKind.MESSAGE},
    nowMs: number,
  ): MembershipAction[] {
    const {from, incarnation, message} = event;
    const {body} = message;
    const actions: MembershipAction[] = [];
    if (body?.$case === 'publishedHosts') {
      const list = ListHolder.read(body.value);
      actions.push(...this.takeList(list, body.value.revision, nowMs));
    }
    actions.push(...this.receiver.take(from, incarnation, message, nowMs));
    return actions;
  }

  private advance(nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = [];
    for (const record of this.table.expire(nowMs)) {
      if (record.incarnation !== '') this.messenger.spread(record.host);
    }
    if (nowMs >= this.nextIndirectMs) actions.push(...this.askRelays(nowMs));
    if (nowMs >= this.nextRoundMs) actions.push(...this.startRound(nowMs));
    return actions;
  }

  private startRound(nowMs: number): MembershipAction[] {
    const {probeIntervalMs} = this.settings;
    for (const {record, sinceMs} of this.prober.closeRound(nowMs)) {
      if (this.table.suspect(record, sinceMs)) {
        this.messenger.spread(record.host);
      }
    }
    const probes = this.prober.openRound(this.findDomain(), nowMs);
    this.nextRoundMs += probeIntervalMs;
    this.nextIndirectMs = nowMs + probeIntervalMs * INDIRECT_AFTER_INTERVALS;
    const pings = probes.flatMap(probe => this.messenger.ping(probe, nowMs));
    return [...pings, ...this.synchronizer.advance(nowMs)];
  }

  private askRelays(nowMs: number): MembershipAction[] {
    this.nextIndirectMs = Infinity;
    const actions: MembershipAction[] = [];
    for (const {id, target} of this.prober.takeIndirect(nowMs)) {
      const live = this.messenger.liveHosts().filter(host => host !== target);
      const body = {
        $case: 'pingRequest' as const,
        value: {probe: id, target},
      };
      for (const relay of this.random.sample(live, RELAYS_PER_PROBE)) {
        actions.push(...this.messenger.send(relay, nowMs, body));
      }
    }
    return actions;
  }

  private tellUpstream(
    upstream: string,
    news: UpstreamNews,
    nowMs: number,
  ): MembershipAction[] {
    const isNew = this.messenger.tellUpstream(upstream, news, nowMs);
    const isUrgent = isNew && news === UpstreamNews.LEAVING;
    return isUrgent ? this.sendUrgently(nowMs) : [];
  }

  private announce(nowMs: number): MembershipAction[] {
    this.messenger.spread(this.options.self.host);
    return this.sendUrgently(nowMs);
  }

  /** Sends what is to be spread at once, not only with the next probes. */
  private sendUrgently(nowMs: number): MembershipAction[] {
    const live = this.messenger.liveHosts();
    return this.random
      .sample(live, URGENT_RECEIVERS)
      .flatMap(host => this.messenger.send(host, nowMs));
  }

  private findDomain(): string {
    const {host} = this.options.self;
    const listed = this.lists.hosts.find(entry => entry.name === host);
    return listed?.failureDomain ?? '';
  }
}
