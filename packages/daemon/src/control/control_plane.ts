import type {Member} from '@parsleywood/config';
import {
  MemberState,
  type UpstreamChange,
  type UpstreamNews,
} from '@parsleywood/membership';
import {PeerState} from '@parsleywood/orders';
import type {HostList} from '@parsleywood/schema/host_list';
import type {LimitMessage} from '@parsleywood/schema/limits';
import type {PeerMessage} from '@parsleywood/schema/peer';
import type {Settings} from '@parsleywood/schema/settings';
import type {UpstreamList} from '@parsleywood/schema/upstream_list';
import {TimelineEventName} from '@parsleywood/timeline';
import type {Incarnation} from '@parsleywood/types';
import type {ConfigurationControl} from './configuration_control.js';
import type {ConfigurationListener} from './configuration_listener.js';
import type {HostNaming} from '../host/host_naming.js';
import type {MembershipControl} from './membership_control.js';
import type {MembershipListener} from './membership_listener.js';
import type {OrderDesk} from './order_desk.js';
import type {PeerReadiness} from '../peers/peer_readiness.js';
import type {PlacementControl} from './placement_control.js';
import type {Serving} from '../host/serving.js';
import type {SuspectSynchronizer} from '../upstreams/suspect_synchronizer.js';
import type {SpreadDesk} from '../upstreams/spread_desk.js';
import type {UpstreamListener} from '../upstreams/upstream_listener.js';

/** Maps the state of a member to the state that the order decision uses. */
const PEER_STATES: Readonly<Record<MemberState, PeerState>> = {
  [MemberState.ALIVE]: PeerState.REACHABLE,
  [MemberState.LEAVING]: PeerState.REACHABLE,
  [MemberState.SUSPECTED]: PeerState.SUSPECTED,
  [MemberState.DEAD]: PeerState.DEAD,
};

/**
 * Routes changes and peer messages between membership, configuration, orders,
 * admission limits and placement.
 */
export class ControlPlane
  implements ConfigurationListener, MembershipListener, UpstreamListener
{
  private configuration: ConfigurationControl | undefined;
  private membership: MembershipControl | undefined;
  private hostListRevision = 0;
  private upstreams: {list: UpstreamList; revision: number} | undefined;

  /** @param exitProcess Ends this process immediately. */
  constructor(
    private readonly serving: Serving,
    private readonly naming: HostNaming,
    private readonly spread: SpreadDesk,
    private readonly orders: OrderDesk,
    private readonly readiness: PeerReadiness,
    private readonly placement: PlacementControl,
    private readonly suspects: SuspectSynchronizer,
    private readonly exitProcess: () => void,
  ) {}

  /**
   * Sets the components that take this object as their listener and so are
   * built after it.
   */
  connect(
    configuration: ConfigurationControl,
    membership: MembershipControl,
  ): void {
    this.configuration = configuration;
    this.membership = membership;
  }

  /** Whether the settings, the host list and the upstream list are known. */
  hasConfiguration(): boolean {
    const {site} = this.serving;
    return (
      site.settings() !== undefined &&
      this.hostListRevision > 0 &&
      this.upstreams !== undefined
    );
  }

  onSettings(settings: Settings): void {
    const {serving} = this;
    serving.timeline.record(TimelineEventName.CONFIGURATION_ADOPTED);
    serving.site.applySettings(settings);
    this.naming.forget();
    serving.traffic.applySettings(settings);
    serving.admission.applySettings(settings);
    this.orders.applySettings(settings.orders);
    this.membership?.applySettings(settings.membership);
    this.updatePlacementPlan();
  }

  onHosts(list: HostList, revision: number): void {
    this.onHostListAdopted(list, revision);
    this.membership?.setList(list, revision);
  }

  onHostListAdopted(list: HostList, revision: number): void {
    if (revision <= this.hostListRevision) return;
    this.hostListRevision = revision;
    this.serving.site.applyHosts(list);
    this.orders.setHosts(list, revision);
    this.updateMembers();
  }

  onUpstreams(list: UpstreamList, revision: number): void {
    const {serving} = this;
    this.upstreams = {list, revision};
    serving.site.applyUpstreams(list);
    serving.upstreams.takeList(list, revision);
    serving.traffic.applyUpstreams();
    const addresses = list.upstreams.map(upstream => upstream.address);
    serving.pools.retain(new Set(addresses));
    this.updatePlacementPlan();
  }

  onMemberChanged(member: Incarnation, state: MemberState): void {
    this.serving.timeline.record(TimelineEventName.MEMBER_CHANGED, '', {
      peer: member.host,
      incarnation: member.id,
      state,
    });
    this.readiness.handleMemberChange(member, state);
    // A member that is new or back may know suspects, or none.
    if (state === MemberState.ALIVE) this.suspects.compareWith(member.host);
    this.orders.setPeer(member, PEER_STATES[state]);
    this.updateMembers();
  }

  onUpstreamReported(upstream: string, news: UpstreamNews): void {
    this.serving.upstreams.takeWord(upstream, news);
  }

  onUpstreamNews(upstream: string, news: UpstreamNews): void {
    this.membership?.reportUpstreamNews(upstream, news);
  }

  onUpstreamsChanged(changes: readonly UpstreamChange[]): void {
    const {timeline, traffic} = this.serving;
    for (const {upstream, state} of changes) {
      const name = TimelineEventName.UPSTREAM_CHANGED;
      timeline.record(name, '', {upstream, state});
    }
    this.serving.refreshUpstreams();
    this.spread.setEngines(traffic.usableEngines());
  }

  onSuperseded(): void {
    this.exitProcess();
  }

  handleMessages(from: Incarnation, messages: readonly PeerMessage[]): void {
    for (const {body} of messages) {
      switch (body?.$case) {
        case 'membership':
          this.membership?.handleMessage(from, body.value);
          break;
        case 'order':
          this.orders.handleMessage(from, body.value);
          break;
        case 'configuration':
          this.configuration?.handleMessage(from.host, body.value);
          break;
        case 'suspect':
          this.serving.suspects.applyUpdate(body.value);
          break;
        case 'traitCrash':
          this.serving.suspects.applyTraitCrash(body.value);
          break;
        case 'traitAnswer':
          this.serving.suspects.applyTraitAnswer(body.value);
          break;
        case 'suspectSummary':
          this.suspects.handleSummary(from.host, body.value);
          break;
        case 'suspectRecords':
          this.suspects.handleRecords(body.value);
          break;
        case 'limit':
          this.handleLimitMessage(from.host, body.value);
          break;
      }
    }
  }

  private handleLimitMessage(host: string, message: LimitMessage): void {
    this.serving.traffic.observePeerDemand(host, message.lanes);
    this.serving.admission.handleMessage(host, message);
  }

  /**
   * Uses peers found by their seed addresses as members until a host list is
   * known.
   */
  addSeeds(members: readonly Member[]): void {
    if (this.hostListRevision === 0) this.configuration?.setMembers(members);
  }

  private updateMembers(): void {
    this.naming.forget();
    const alive: Member[] = (this.membership?.listMembers() ?? [])
      .filter(member => member.state !== MemberState.DEAD)
      .map(({host, failureDomain}) => ({host, failureDomain}));
    this.configuration?.setMembers(alive);
    const hosts = alive.map(({host}) => host);
    this.serving.admission.setPeers(hosts);
    const listedCount = this.serving.site.hosts().hosts.length;
    this.placement.setMembers([this.serving.host, ...hosts], listedCount);
  }

  /**
   * Updates the placement plan. Does nothing until the settings, their revision
   * and the upstream list are all known.
   */
  private updatePlacementPlan(): void {
    const settings = this.serving.site.settings();
    const revision = this.configuration?.getRevision();
    if (!settings || !revision || !this.upstreams) return;
    const {list, revision: listRevision} = this.upstreams;
    this.placement.setPlan(settings, list, revision, listRevision);
  }
}
