import {
  MemberState,
  Membership,
  MembershipActionKind,
  MembershipEventKind,
  type Member,
  type MembershipAction,
  type MembershipEvent,
  type MembershipSettings,
  type UpstreamNews,
} from '@parsleywood/membership';
import type {HostList} from '@parsleywood/schema/host_list';
import type {MembershipMessage} from '@parsleywood/schema/membership';
import type {Incarnation} from '@parsleywood/types';
import type {Clock} from '../host/clock.js';
import {DecisionRunner} from '../host/decision_runner.js';
import type {EventLog} from '../host/event_log.js';
import type {MembershipListener} from './membership_listener.js';
import type {PeerTransport} from '../peers/peer_transport.js';

/**
 * Runs the membership protocol with the peers of the site, and reports its
 * results to the listener.
 */
export class MembershipControl {
  private readonly membership: Membership;
  private readonly runner: DecisionRunner<MembershipEvent, MembershipAction>;

  constructor(
    self: Incarnation,
    address: string,
    private readonly defaultSettings: MembershipSettings,
    seed: number,
    clock: Clock,
    private readonly transport: PeerTransport,
    private readonly log: EventLog,
    private readonly listener: MembershipListener,
  ) {
    this.membership = new Membership({
      self,
      address,
      settings: defaultSettings,
      seed,
    });
    this.runner = new DecisionRunner(
      this.membership,
      clock,
      {kind: MembershipEventKind.WAKE},
      action => {
        this.apply(action);
      },
    );
  }

  /** Lists the members and their states in this host's view. */
  listMembers(): readonly Member[] {
    return this.membership.members();
  }

  /** Lists the names of the other hosts that are alive. */
  listAlive(): string[] {
    return this.listMembers()
      .filter(({state}) => state === MemberState.ALIVE)
      .map(({host}) => host);
  }

  /** Returns the peer address (IP:port) that membership knows for a host. */
  addressOf(host: string): string | undefined {
    return this.listMembers().find(member => member.host === host)?.address;
  }

  /** Returns the incarnation of a host; undefined unless the host is alive. */
  findAlive(host: string): Incarnation | undefined {
    const member = this.listMembers().find(
      candidate => candidate.host === host,
    );
    if (member?.state !== MemberState.ALIVE) return undefined;
    return {host, id: member.incarnation};
  }

  start(): void {
    this.runner.dispatch({kind: MembershipEventKind.WAKE});
  }

  stop(): void {
    this.runner.stop();
  }

  /** Applies the failure detection times; absent ones take the defaults. */
  applySettings(settings: Partial<MembershipSettings> = {}): void {
    this.runner.dispatch({
      kind: MembershipEventKind.SETTINGS,
      settings: {...this.defaultSettings, ...settings},
    });
  }

  setList(list: HostList, revision: number): void {
    this.runner.dispatch({kind: MembershipEventKind.LIST, list, revision});
  }

  handleMessage(from: Incarnation, message: MembershipMessage): void {
    this.runner.dispatch({
      kind: MembershipEventKind.MESSAGE,
      from: from.host,
      incarnation: from.id,
      message,
    });
  }

  announceLeaving(): void {
    this.runner.dispatch({kind: MembershipEventKind.SELF_LEAVING});
  }

  announceEnd(): void {
    this.runner.dispatch({kind: MembershipEventKind.SELF_STOPPED});
  }

  reportUpstreamNews(upstream: string, news: UpstreamNews): void {
    const kind = MembershipEventKind.UPSTREAM_NEWS;
    this.runner.dispatch({kind, upstream, news});
  }

  private apply(action: MembershipAction): void {
    switch (action.kind) {
      case MembershipActionKind.SEND:
        this.transport.send(
          action.to,
          {body: {$case: 'membership', value: action.message}},
          action.address,
        );
        break;
      case MembershipActionKind.MEMBER_CHANGED:
        this.log.info('member_changed', {
          member: action.host,
          memberIncarnation: action.incarnation,
          state: action.state,
        });
        this.listener.onMemberChanged(
          {host: action.host, id: action.incarnation},
          action.state,
          action.proved,
        );
        break;
      case MembershipActionKind.LIST_ADOPTED:
        this.listener.onHostListAdopted(action.list, action.revision);
        break;
      case MembershipActionKind.SUPERSEDED:
        this.log.error('superseded', {by: action.incarnation});
        this.listener.onSuperseded();
        break;
      case MembershipActionKind.DECLARED_DEAD:
        this.log.warn('declared_dead');
        break;
      case MembershipActionKind.STALLED:
        this.log.warn('stalled', {stalledMs: Math.round(action.stalledMs)});
        break;
      case MembershipActionKind.UPSTREAM_REPORTED:
        this.listener.onUpstreamReported(action.upstream, action.news);
        break;
    }
  }
}
