import type {Decision} from '@parsleywood/types';
import type {HostList} from '@parsleywood/schema/host_list';
import {HostListStore} from './host_list_store.js';
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
import {MessageHandler} from './message_handler.js';
import {SelfStatus} from './self_status.js';
import {Synchronizer} from './synchronizer.js';
import {UpstreamNews} from './upstream_news.js';

const INDIRECT_PROBE_DELAY_INTERVALS = 0.4;
const STALL_THRESHOLD_INTERVALS = 0.5;
const RELAYS_PER_PROBE = 3;
const URGENT_SEND_FANOUT = 8;

/** Detects failed hosts of the site by probes and gossip. Does no I/O. */
export class Membership implements Decision<MembershipEvent, MembershipAction> {
  private readonly settings: MembershipSettings;
  private readonly random: Random;
  private readonly table: MemberTable;
  private readonly hostLists = new HostListStore();
  private readonly self: SelfStatus;
  private readonly prober: Prober;
  private readonly messenger: Messenger;
  private readonly synchronizer: Synchronizer;
  private readonly messageHandler: MessageHandler;
  private nextRoundMs = Infinity;
  private nextIndirectMs = Infinity;

  constructor(private readonly options: MembershipOptions) {
    const {self, address, seed} = options;
    this.settings = {...options.settings};
    this.random = new Random(seed);
    this.table = new MemberTable(self.host, this.settings);
    this.self = new SelfStatus(self);
    this.prober = new Prober(self.host, this.table, this.settings, this.random);
    this.messenger = new Messenger(
      address,
      this.self,
      this.table,
      this.hostLists,
    );
    this.synchronizer = new Synchronizer(
      this.self,
      this.table,
      this.messenger,
      this.random,
    );
    this.messageHandler = new MessageHandler({
      self: this.self,
      table: this.table,
      hostLists: this.hostLists,
      prober: this.prober,
      messenger: this.messenger,
      synchronizer: this.synchronizer,
      settings: this.settings,
    });
  }

  handle(event: MembershipEvent, nowMs: number): MembershipAction[] {
    const actions = this.detectStall(nowMs);
    actions.push(...this.apply(event, nowMs));
    actions.push(...this.runDueWork(nowMs));
    return [...this.table.takeChanges(), ...actions];
  }

  wakeAtMs(): number {
    return Math.min(
      this.nextRoundMs,
      this.nextIndirectMs,
      this.table.nextExpiryMs(),
    );
  }

  /** This host's view of all other hosts of the site. */
  members(): Member[] {
    return this.table.snapshot();
  }

  private apply(event: MembershipEvent, nowMs: number): MembershipAction[] {
    switch (event.kind) {
      case MembershipEventKind.LIST:
        return this.adoptList(event.list, event.revision, nowMs);
      case MembershipEventKind.SETTINGS:
        Object.assign(this.settings, event.settings);
        return [];
      case MembershipEventKind.MESSAGE:
        return this.handleMessage(event, nowMs);
      case MembershipEventKind.REFUSED:
        return this.messageHandler.handleRefusal(
          event.host,
          event.incarnation,
          nowMs,
        );
      case MembershipEventKind.SELF_LEAVING:
        this.self.markLeaving();
        return this.announceSelf(nowMs);
      case MembershipEventKind.SELF_STOPPED:
        this.self.markStopped();
        return this.announceSelf(nowMs);
      case MembershipEventKind.UPSTREAM_NEWS:
        return this.publishUpstreamNews(event.upstream, event.news, nowMs);
      case MembershipEventKind.WAKE:
        return [];
    }
  }

  /** A late wake-up means that this process was paused, not its peers. */
  private detectStall(nowMs: number): MembershipAction[] {
    const stalledMs = nowMs - this.wakeAtMs();
    const {probeIntervalMs} = this.settings;
    if (!(stalledMs > probeIntervalMs * STALL_THRESHOLD_INTERVALS)) return [];
    this.table.extendSuspicions(stalledMs);
    this.prober.resetAfterStall();
    this.nextIndirectMs = Infinity;
    this.nextRoundMs = nowMs + probeIntervalMs * STALL_THRESHOLD_INTERVALS;
    return [{kind: MembershipActionKind.STALLED, stalledMs}];
  }

  private adoptList(
    list: HostList,
    revision: number,
    nowMs: number,
  ): MembershipAction[] {
    if (!this.hostLists.replaceIfNewer(list, revision)) return [];
    this.table.applyList(list, nowMs);
    if (this.nextRoundMs === Infinity) {
      const {probeIntervalMs} = this.settings;
      this.nextRoundMs = nowMs + this.random.drawBelow(probeIntervalMs);
    }
    return [{kind: MembershipActionKind.LIST_ADOPTED, list, revision}];
  }

  private handleMessage(
    event: MembershipEvent & {kind: MembershipEventKind.MESSAGE},
    nowMs: number,
  ): MembershipAction[] {
    const {from, incarnation, message} = event;
    const {body} = message;
    const actions: MembershipAction[] = [];
    if (body?.$case === 'publishedHosts') {
      const list = HostListStore.decode(body.value);
      actions.push(...this.adoptList(list, body.value.revision, nowMs));
    }
    actions.push(
      ...this.messageHandler.handleMessage(from, incarnation, message, nowMs),
    );
    return actions;
  }

  private runDueWork(nowMs: number): MembershipAction[] {
    const actions: MembershipAction[] = [];
    for (const record of this.table.expireSuspects(nowMs)) {
      if (record.incarnation !== '') this.messenger.queue(record.host);
    }
    if (nowMs >= this.nextIndirectMs) actions.push(...this.pingViaPeers(nowMs));
    if (nowMs >= this.nextRoundMs) actions.push(...this.startProbeRound(nowMs));
    return actions;
  }

  private startProbeRound(nowMs: number): MembershipAction[] {
    const {probeIntervalMs} = this.settings;
    for (const {record, sinceMs} of this.prober.closeRound(nowMs)) {
      if (this.table.markSuspected(record, sinceMs)) {
        this.messenger.queue(record.host);
      }
    }
    const probes = this.prober.openRound(this.findFailureDomain(), nowMs);
    this.nextRoundMs += probeIntervalMs;
    this.nextIndirectMs =
      nowMs + probeIntervalMs * INDIRECT_PROBE_DELAY_INTERVALS;
    const pings = probes.flatMap(probe =>
      this.messenger.buildPing(probe, nowMs),
    );
    return [...pings, ...this.synchronizer.queryIfDue(nowMs)];
  }

  private pingViaPeers(nowMs: number): MembershipAction[] {
    this.nextIndirectMs = Infinity;
    const actions: MembershipAction[] = [];
    for (const {id, target} of this.prober.takeIndirectProbes(nowMs)) {
      const liveHosts = this.messenger
        .listLiveHosts()
        .filter(host => host !== target);
      const body = {
        $case: 'pingRequest' as const,
        value: {probe: id, target},
      };
      for (const relay of this.random.sample(liveHosts, RELAYS_PER_PROBE)) {
        actions.push(...this.messenger.buildMessage(relay, nowMs, body));
      }
    }
    return actions;
  }

  private publishUpstreamNews(
    upstream: string,
    news: UpstreamNews,
    nowMs: number,
  ): MembershipAction[] {
    const isNew = this.messenger.publishUpstreamNews(upstream, news, nowMs);
    const isUrgent = isNew && news === UpstreamNews.LEAVING;
    return isUrgent ? this.sendToSample(nowMs) : [];
  }

  private announceSelf(nowMs: number): MembershipAction[] {
    this.messenger.queue(this.options.self.host);
    return this.sendToSample(nowMs);
  }

  /** Sends queued updates at once instead of with the next probes. */
  private sendToSample(nowMs: number): MembershipAction[] {
    const liveHosts = this.messenger.listLiveHosts();
    return this.random
      .sample(liveHosts, URGENT_SEND_FANOUT)
      .flatMap(host => this.messenger.buildMessage(host, nowMs));
  }

  private findFailureDomain(): string {
    const {host} = this.options.self;
    const listed = this.hostLists.hosts.find(entry => entry.name === host);
    return listed?.failureDomain ?? '';
  }
}
