import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {setTimeout as pause} from 'node:timers/promises';
import {UpstreamState} from '@parsleywood/membership';
import {Orders} from '@parsleywood/orders';
import type {StartSettings} from '@parsleywood/schema/start_settings';
import {TimelineEventName} from '@parsleywood/timeline';
import type {Incarnation} from '@parsleywood/types';
import {CallerDrain} from './callers/caller_drain.js';
import {CallerServer} from './callers/caller_server.js';
import {CompletionHandler} from './callers/completion_handler.js';
import {ConfigurationControl} from './control/configuration_control.js';
import {ControlPlane} from './control/control_plane.js';
import {drawSeed} from './host/draw_seed.js';
import {EnginePicker} from './upstreams/engine_picker.js';
import {EngineTraffic} from './upstreams/engine_traffic.js';
import {EventLog} from './host/event_log.js';
import {HostMetrics} from './host/host_metrics.js';
import {HostNaming} from './host/host_naming.js';
import {HostState} from './host/host_state.js';
import {HostStatusReader} from './operators/host_status_reader.js';
import {HostTimeline} from './host/host_timeline.js';
import {LoadFeed} from './upstreams/load_feed.js';
import {makeAdmission} from './control/make_admission.js';
import {MembershipControl} from './control/membership_control.js';
import {nameIncarnation} from './host/name_incarnation.js';
import {OperatorServer} from './operators/operator_server.js';
import {OrderDesk} from './control/order_desk.js';
import {parseAddress} from './host/parse_address.js';
import {PeerCalls} from './peers/peer_calls.js';
import {PeerReadiness} from './peers/peer_readiness.js';
import {PeerServer} from './peers/peer_server.js';
import {PeerTransport} from './peers/peer_transport.js';
import {PlacementClient} from './upstreams/placement_client.js';
import {PlacementControl} from './control/placement_control.js';
import {PlatformClient} from './control/platform_client.js';
import {ReservationClient} from './upstreams/reservation_client.js';
import {ServiceHandler} from './callers/service_handler.js';
import {Serving} from './host/serving.js';
import {SeedPeers} from './peers/seed_peers.js';
import {SiteReader} from './operators/site_reader.js';
import {SiteView} from './host/site_view.js';
import {SocketMeter} from './host/socket_meter.js';
import {IsolationLeases} from './upstreams/isolation_leases.js';
import {SpreadDesk} from './upstreams/spread_desk.js';
import {SuspectLog} from './upstreams/suspect_log.js';
import {PeerSuspectPublisher} from './peers/peer_suspect_publisher.js';
import {PeerSuspects} from './peers/peer_suspects.js';
import {SuspectSynchronizer} from './upstreams/suspect_synchronizer.js';
import {SuspectTracker} from './upstreams/suspect_tracker.js';
import {SystemClock} from './host/system_clock.js';
import {UpstreamControl} from './upstreams/upstream_control.js';
import {UpstreamPools} from './upstreams/upstream_pools.js';

const MEMBERSHIP_SETTINGS = {
  probeIntervalMs: 500,
  suspectAfterMs: 1_500,
  deadAfterMs: 4_000,
};
/**
 * After this time a host that has its configuration becomes ready, even
 * if it may not vote on orders yet, upstreams are still being probed or no peer has
 * told its suspects.
 */
const MAX_READY_DELAY_MS = 5_000;
const READY_POLL_INTERVAL_MS = 20;
/** Time to deliver the last messages to peers before connections are closed. */
const LAST_MESSAGES_DELAY_MS = 50;

/** One entry host: creates its components, starts them and stops them gracefully. */
export class HostProcess {
  private readonly clock = new SystemClock();
  private readonly site = new SiteView();
  private readonly metrics = new HostMetrics();
  private readonly peerSockets: SocketMeter;
  private readonly pools = new UpstreamPools();
  private readonly naming = new HostNaming(this.site, host =>
    this.isUsable(host),
  );
  private readonly incarnation: Incarnation;
  private readonly startedMs = this.clock.nowMs();
  private readonly platform: PlatformClient;
  private readonly transport: PeerTransport;
  private readonly serving: Serving;
  private readonly orders: OrderDesk;
  private readonly readiness: PeerReadiness;
  private readonly placement: PlacementControl;
  private readonly suspects: SuspectSynchronizer;
  private readonly control: ControlPlane;
  private readonly configuration: ConfigurationControl;
  private readonly membership: MembershipControl;
  private readonly upstreams: UpstreamControl;
  private readonly loads: LoadFeed;
  private readonly seeds: SeedPeers;
  private readonly spread: SpreadDesk;
  private readonly callers: CallerServer;
  private readonly operators: OperatorServer;
  private readonly peers: PeerServer;
  private state = HostState.STARTING;
  private wasReady = false;
  private stopping: Promise<void> | undefined;

  /**
   * @param peerKey Secret key shared by all hosts.
   * @param end Called with the exit code when the process must end.
   */
  constructor(
    private readonly settings: StartSettings,
    peerKey: string,
    private readonly end: (code: number) => void,
  ) {
    const {clock, site} = this;
    this.incarnation = nameIncarnation(settings.host, clock.wallMs());
    const {incarnation} = this;
    const log = new EventLog(incarnation, settings.logLevel ?? 'info');
    this.platform = new PlatformClient(settings.platformUrl, this.metrics);
    const timeline = new HostTimeline(incarnation, clock);
    this.transport = new PeerTransport(
      incarnation,
      peerKey,
      timeline,
      this.metrics,
      name => this.findPeer(name),
    );
    this.peerSockets = new SocketMeter(
      parseAddress(settings.peersAddress).port,
    );
    const {host} = settings;
    const traffic = new EngineTraffic(host, clock, site, drawSeed());
    const admission = makeAdmission(
      incarnation,
      clock,
      traffic,
      this.naming,
      this.transport,
    );
    const owner = `${incarnation.host}/${incarnation.id}`;
    const reservations = new ReservationClient(owner, site, this.pools);
    this.spread = new SpreadDesk(host, drawSeed(), clock, reservations);
    const solo = new IsolationLeases(traffic, reservations);
    const suspects = new SuspectTracker(
      clock,
      new PeerSuspectPublisher(this.transport, () =>
        site.hosts().hosts.map(({name}) => name),
      ),
      new SuspectLog(log, this.metrics),
      () => site.hosts().hosts.length,
      uniformFloat64(xoroshiro128plus(drawSeed())),
    );
    this.serving = new Serving(
      incarnation,
      clock,
      site,
      this.pools,
      traffic,
      new EnginePicker(traffic, this.spread, solo),
      suspects,
      admission,
      this.metrics,
      timeline,
      log,
    );
    this.orders = new OrderDesk(
      this.serving,
      this.transport,
      new Orders(incarnation),
    );
    this.readiness = new PeerReadiness(this.transport, () => {
      this.naming.forget();
    });
    this.placement = new PlacementControl(
      host,
      clock,
      new PlacementClient(site, this.pools),
      log,
    );
    this.suspects = new SuspectSynchronizer(
      suspects,
      new PeerSuspects(this.transport),
    );
    this.control = new ControlPlane(
      this.serving,
      this.naming,
      this.spread,
      this.orders,
      this.readiness,
      this.placement,
      this.suspects,
      () => {
        this.end(1);
      },
    );
    this.upstreams = new UpstreamControl(
      clock,
      site,
      this.pools,
      log,
      drawSeed(),
      this.control,
    );
    this.loads = new LoadFeed(
      clock,
      site,
      this.pools,
      traffic,
      upstream => this.upstreams.isUsable(upstream),
      this.metrics,
    );
    this.serving.useUpstreams(this.upstreams, this.loads);
    this.seeds = new SeedPeers(
      settings.seedPeers ?? [],
      this.transport,
      members => {
        this.control.addSeeds(members);
      },
    );
    this.configuration = this.makeConfiguration(log);
    this.membership = this.makeMembership(log);
    this.control.connect(this.configuration, this.membership);
    this.callers = new CallerServer(
      this.serving,
      new CompletionHandler(this.serving),
      new ServiceHandler(this.serving, this.orders),
      this.naming,
    );
    const status = new HostStatusReader(
      settings,
      this.serving,
      this.configuration,
      this.membership,
      () => this.describeState(),
    );
    this.operators = new OperatorServer(
      this.serving,
      this.configuration,
      new SiteReader(this.serving, this.transport, status),
      this.peerSockets,
      () => this.isReady(),
      () => {
        this.drain();
      },
    );
    this.peers = new PeerServer(
      peerKey,
      new PeerCalls(
        this.serving,
        this.control,
        this.orders,
        status,
        () => this.describeState() === HostState.STARTING,
        () => {
          this.drain();
        },
      ),
    );
  }

  async start(): Promise<void> {
    const operators = parseAddress(this.settings.operatorsAddress);
    const callers = parseAddress(this.settings.callersAddress);
    await this.operators.listen(operators.host, operators.port);
    this.peerSockets.start();
    await this.peers.listen(this.settings.peersAddress);
    this.orders.start();
    this.serving.admission.start();
    this.membership.start();
    const generator = xoroshiro128plus(drawSeed());
    this.suspects.start(
      () => this.membership.listAlive(),
      () => uniformFloat64(generator),
    );
    this.configuration.start();
    this.seeds.start();
    this.loads.start();
    await this.callers.listen(callers.host, callers.port);
    this.state = HostState.SERVING;
    void this.watchReadiness();
    this.serving.log.info('host_started');
    this.serving.timeline.record(TimelineEventName.HOST_STARTED);
  }

  /** Stops once every request has its response; later calls return the same promise. */
  stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  private drain(): void {
    void this.stop().then(() => {
      this.end(0);
    });
  }

  private async stopGracefully(): Promise<void> {
    const {serving} = this;
    this.state = HostState.DRAINING;
    this.naming.forget();
    serving.log.info('host_draining', {
      inFlight: serving.inFlightRequests(),
    });
    serving.timeline.record(TimelineEventName.HOST_DRAINING);
    this.membership.announceLeaving();
    this.placement.stop();
    await new CallerDrain(serving, this.callers, this.orders).run();
    this.membership.announceEnd();
    await pause(LAST_MESSAGES_DELAY_MS);
    await this.closeControl();
    serving.log.info('host_stopped');
  }

  private async closeControl(): Promise<void> {
    this.configuration.stop();
    this.seeds.stop();
    this.loads.stop();
    this.spread.stop();
    this.upstreams.stop();
    this.suspects.stop();
    this.membership.stop();
    this.readiness.stop();
    this.orders.stop();
    this.serving.admission.stop();
    await this.peers.close();
    this.peerSockets.stop();
    this.transport.close();
    await this.operators.close();
    await this.pools.close();
    await this.platform.close();
  }

  /** Whether the host is ready; once true, it stays true until draining starts. */
  private isReady(): boolean {
    if (this.state !== HostState.SERVING) return false;
    this.wasReady ||= this.meetsReadyConditions();
    return this.wasReady;
  }

  private async watchReadiness(): Promise<void> {
    while (this.state === HostState.SERVING && !this.isReady()) {
      await pause(READY_POLL_INTERVAL_MS);
    }
    this.naming.forget();
  }

  private meetsReadyConditions(): boolean {
    if (!this.control.hasConfiguration()) return false;
    const upMs = this.clock.nowMs() - this.startedMs;
    if (upMs > MAX_READY_DELAY_MS) return true;
    return (
      this.orders.mayVote() && this.hasProbedUpstreams() && this.knowsSuspects()
    );
  }

  /** Whether the peers' suspects are known, so that none is run anew here. */
  private knowsSuspects(): boolean {
    return this.suspects.hasCompared || this.site.hosts().hosts.length <= 1;
  }

  private hasProbedUpstreams(): boolean {
    return this.site
      .allUpstreams()
      .every(
        ({name}) => this.upstreams.stateOf(name) !== UpstreamState.PROBING,
      );
  }

  /** Whether callers may be directed to a host. */
  private isUsable(host: string): boolean {
    if (host === this.incarnation.host) return this.isReady();
    const peer = this.membership.findAlive(host);
    return peer !== undefined && this.readiness.isReady(peer);
  }

  private describeState(): HostState {
    if (this.state !== HostState.SERVING || this.wasReady) return this.state;
    return HostState.STARTING;
  }

  private findPeer(host: string): string | undefined {
    const listed = this.site.hosts().hosts.find(one => one.name === host);
    if (listed !== undefined) return listed.peers;
    return this.membership.addressOf(host) ?? this.seeds.addressOf(host);
  }

  private makeConfiguration(log: EventLog): ConfigurationControl {
    const {host, site, failureDomain} = this.settings;
    return new ConfigurationControl(
      site,
      {host, failureDomain},
      drawSeed(),
      this.clock,
      this.platform,
      this.transport,
      log,
      this.control,
    );
  }

  private makeMembership(log: EventLog): MembershipControl {
    return new MembershipControl(
      this.incarnation,
      this.settings.peersAddress,
      MEMBERSHIP_SETTINGS,
      drawSeed(),
      this.clock,
      this.transport,
      log,
      this.control,
    );
  }
}
