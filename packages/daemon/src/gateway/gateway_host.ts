import {setTimeout as pause} from 'node:timers/promises';
import {
  PlacementRegistry,
  UpstreamChooser,
  UpstreamHealth,
  UpstreamLimits,
  UpstreamRests,
} from '@parsleywood/dispatch';
import {BufferBudget, HomeRegions, SiteReplica} from '@parsleywood/forwarding';
import {PeerStage, ReachState} from '@parsleywood/membership';
import {TimelineEventName} from '@parsleywood/timeline';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {drawSeed} from '../host/draw_seed.js';
import {EventLog} from '../host/event_log.js';
import {HostMetrics} from '../host/host_metrics.js';
import {HostTimeline} from '../host/host_timeline.js';
import {nameIncarnation} from '../host/name_incarnation.js';
import {splitAddress} from '../host/split_address.js';
import {PeerServer} from '../peers/peer_server.js';
import {PeerTransport} from '../peers/peer_transport.js';
import {SuspectLog} from '../upstreams/suspect_log.js';
import {SuspectSynchronizer} from '../upstreams/suspect_synchronizer.js';
import {SuspectTracker} from '../upstreams/suspect_tracker.js';
import {SystemClock} from '../host/system_clock.js';
import {DepartureCheck} from './upstreams/departure_check.js';
import {DirectoryServer} from './callers/directory_server.js';
import {planStartRetryMs} from './callers/plan_start_retry_ms.js';
import {describeGateway} from './describe_gateway.js';
import {HostDirectory} from './callers/host_directory.js';
import {PeerCallHandler} from './fleet/peer_call_handler.js';
import {FleetMembership} from './fleet/fleet_membership.js';
import type {GatewayDialect} from './gateway_dialect.js';
import {GatewayMetrics} from './gateway_metrics.js';
import type {GatewayContext} from './gateway_context.js';
import {GatewayServer} from './callers/gateway_server.js';
import {UpdateRelay} from './fleet/update_relay.js';
import {createIgnoredHeaderLogs} from './upstreams/create_ignored_header_logs.js';
import {createUpdateApplier} from './fleet/create_update_applier.js';
import type {ProbeServer} from './callers/probe_server.js';
import {createProbeServer} from './create_probe_server.js';
import {createColdRates} from './upstreams/create_cold_rates.js';
import {ReachMonitor} from './upstreams/reach_monitor.js';
import type {EngineReservations} from './upstreams/engine_reservations.js';
import {createPathTester} from './upstreams/create_path_tester.js';
import type {LoadReports} from './upstreams/load_reports.js';
import {StartReports} from './upstreams/start_reports.js';
import {createStartView} from './upstreams/create_start_view.js';
import {createGatewayMemory} from './callers/create_gateway_memory.js';
import {recordLeaving} from './upstreams/record_leaving.js';
import {retainUpstreams} from './upstreams/retain_upstreams.js';
import {RetryBudgets} from './attempts/retry_budgets.js';
import {SiteExchange} from './site/site_exchange.js';
import {SiteWatcher} from './site/site_watcher.js';
import {SiteUpdater} from './site/site_updater.js';
import type {SiteSource} from './site/site_source.js';
import {UpstreamConnectionPool} from './upstreams/upstream_connection_pool.js';
import {UpstreamPacing} from './upstreams/upstream_pacing.js';
import {UpstreamProber} from './upstreams/upstream_prober.js';

/**
 * Constant peer key: hosts of one site trust their network, and the key adds no
 * protection.
 */
const PEER_KEY = 'parsleywood-gateway';
/** Upper bound of the time for which callers may cache directory responses. */
const MAX_DIRECTORY_TTL_MS = 1_000;
/**
 * Time for which a stopping host still accepts requests that end in time: by its
 * end, callers have learnt of the stop.
 */
const DRAIN_NOTICE_MS = 3_000;
/** Part of the grace period reserved for closing the remaining connections. */
const CLOSE_MARGIN_MS = 1_000;
const DRAIN_POLL_INTERVAL_MS = 50;

/** One host, which forwards requests by the published routes. */
export class GatewayHost {
  private readonly clock = new SystemClock();
  private readonly log: EventLog;
  private readonly timeline: HostTimeline;
  private readonly replica: SiteReplica;
  private readonly metrics = new GatewayMetrics(new HostMetrics());
  private readonly transport: PeerTransport;
  private readonly siteUpdater: SiteUpdater;
  private readonly siteWatcher: SiteWatcher;
  private readonly fleet: FleetMembership;
  private readonly upstreamProber: UpstreamProber;
  private readonly reach: ReachMonitor;
  private readonly context: GatewayContext;
  private readonly startReports: StartReports;
  private readonly server: GatewayServer;
  private readonly directory: DirectoryServer;
  private readonly probes: ProbeServer;
  private readonly peers: PeerServer;
  private stage = PeerStage.STARTING;
  private stopPromise: Promise<void> | undefined;
  private version = 0;
  private wasReady = false;

  constructor(
    private readonly settings: GatewaySettings,
    source: SiteSource,
    reservations: EngineReservations,
    dialect: GatewayDialect,
    loadReports?: LoadReports,
  ) {
    const {clock, metrics} = this;
    const {peersAddress, bounds, failureDomain} = settings;
    this.replica = new SiteReplica(bounds.evacuationMs);
    const {replica} = this;
    const incarnation = nameIncarnation(peersAddress, clock.wallMs());
    const {host, logLevel = 'info'} = settings;
    this.log = new EventLog({...incarnation, host}, logLevel);
    this.timeline = new HostTimeline(incarnation, clock);
    const {log, timeline} = this;
    this.transport = new PeerTransport(
      incarnation,
      PEER_KEY,
      timeline,
      metrics.host,
      name => name,
    );
    const generator = xoroshiro128plus(drawSeed());
    const draw = (): number => uniformFloat64(generator);
    this.siteUpdater = new SiteUpdater(
      replica,
      clock,
      log,
      () => {
        this.applySite();
      },
      delta => {
        siteExchange.publish(delta);
      },
    );
    this.siteWatcher = new SiteWatcher(
      source,
      this.siteUpdater,
      log,
      metrics,
      () => this.fleet.countHosts(),
      draw,
      () => siteExchange.mustWatch(),
    );
    const relay = new UpdateRelay(peersAddress, this.transport);
    const siteExchange = new SiteExchange(
      this.siteUpdater,
      relay,
      () => replica.createSnapshot(clock.nowMs()),
      clock,
      log,
      metrics,
    );
    const placements = new PlacementRegistry();
    const startView = createStartView(settings, clock);
    const health = new UpstreamHealth();
    const limits = new UpstreamLimits(draw);
    const view = {placements, health, replica, log};
    const pacing = new UpstreamPacing(view, settings);
    const suspects = new SuspectTracker(
      clock,
      relay,
      new SuspectLog(log, metrics.host),
      () => this.fleet.countHosts(),
      draw(),
    );
    this.reach = new ReachMonitor(
      replica,
      health,
      createPathTester(replica, metrics, () => this.context, draw),
      relay,
      clock,
      log,
      metrics,
      () => this.fleet.listHeartbeats(),
      () => {
        this.server.endStalled();
      },
    );
    const {reach} = this;
    this.upstreamProber = new UpstreamProber(
      health,
      replica,
      clock,
      () => reach.state === ReachState.CUT_OFF,
    );
    this.fleet = new FleetMembership(
      settings,
      this.transport,
      relay,
      createUpdateApplier(settings, replica, relay, startView, {
        placements,
        health,
        limits,
        suspects,
        pacing,
      }),
      new SuspectSynchronizer(suspects, relay),
      this.siteUpdater,
      siteExchange,
      clock,
      log,
      timeline,
      draw,
      () => this.readStage(),
      () => reach.state,
    );
    const memory = createGatewayMemory(settings, clock, metrics, log);
    this.context = {
      clock,
      log,
      timeline,
      metrics,
      headerNames: dialect.headers,
      replica,
      homeRegions: new HomeRegions(settings.regions),
      placements,
      health,
      limits,
      coldRates: createColdRates(
        {settings, replica, clock, log, metrics},
        () => this.fleet.listSightings(),
        () => this.readStage(),
      ),
      pacing,
      rests: new UpstreamRests(draw),
      ...createIgnoredHeaderLogs(log),
      chooser: new UpstreamChooser(
        host,
        failureDomain,
        placements,
        health,
        pacing.pace,
        startView,
      ),
      startView,
      retryBudgets: new RetryBudgets(bounds, clock, () =>
        this.fleet.countHosts(),
      ),
      connectionPool: new UpstreamConnectionPool(clock),
      bufferBudget: new BufferBudget(memory.budget),
      publisher: relay,
      reach,
      departureCheck: new DepartureCheck(replica, reach, clock),
      reservationClient: reservations,
      suspects,
      planStartRetryMs: (random = draw()) =>
        planStartRetryMs(settings, this.fleet.listHeartbeats(), random),
      countHosts: () => this.fleet.countHosts(),
      draw,
    };
    reservations.listenForLeaving(engine => {
      recordLeaving(this.context, engine);
    });
    this.startReports = new StartReports(this.context, loadReports);
    this.server = new GatewayServer(this.context, memory);
    const hosts = new HostDirectory(
      settings,
      replica,
      this.context.homeRegions,
      () => this.isServing(),
      () => this.fleet.listHeartbeats(),
      () => reach.state,
    );
    this.directory = new DirectoryServer(
      dialect.directory,
      query => hosts.list(query),
      Math.min(bounds.directoryTtlMs, MAX_DIRECTORY_TTL_MS),
      memory,
    );
    const {fleet, siteUpdater, server, transport} = this;
    this.probes = createProbeServer(
      host,
      dialect.readinessPath,
      this.context,
      {fleet, siteUpdater, server, transport},
      memory,
      () => this.isServing(),
    );
    this.peers = new PeerServer(
      PEER_KEY,
      new PeerCallHandler(
        fleet,
        timeline,
        () => describeGateway(settings, this.readStage(), siteUpdater, fleet),
        () => {
          void this.stop();
        },
      ),
    );
  }

  async start(): Promise<void> {
    const {settings} = this;
    this.timeline.record(TimelineEventName.HOST_STARTED);
    this.siteWatcher.start();
    this.upstreamProber.start();
    this.reach.start();
    await this.peers.listen(settings.peersAddress);
    this.fleet.start();
    const {readinessAddress, metricsAddress} = settings;
    await this.probes.listenForReadiness(...splitAddress(readinessAddress));
    await this.probes.listenForMetrics(...splitAddress(metricsAddress));
    await this.directory.listen(...splitAddress(settings.directoryAddress));
    await this.server.listen(...splitAddress(settings.callersAddress));
    // A stop may have begun meanwhile.
    if (this.stopPromise === undefined) this.stage = PeerStage.READY;
    this.log.info('host_started', {peersAddress: settings.peersAddress});
    this.recordReady();
  }

  /** Stops when open requests have ended, or at the end of the grace period. */
  stop(): Promise<void> {
    this.stopPromise ??= this.stopGracefully();
    return this.stopPromise;
  }

  private async stopGracefully(): Promise<void> {
    const {clock, server, settings} = this;
    const beganMs = clock.nowMs();
    const closesAtMs = beganMs + settings.bounds.stopGraceMs - CLOSE_MARGIN_MS;
    const refusesFromMs = Math.min(beganMs + DRAIN_NOTICE_MS, closesAtMs);
    this.stage = PeerStage.STOPPING;
    this.timeline.record(TimelineEventName.HOST_DRAINING);
    this.log.info('host_stopping', {open: server.openRequests});
    server.startDraining(refusesFromMs, closesAtMs);
    this.fleet.sendHeartbeats();
    await pause(refusesFromMs - beganMs);
    while (server.openRequests > 0 && clock.nowMs() < closesAtMs) {
      await pause(DRAIN_POLL_INTERVAL_MS);
    }
    this.timeline.record(TimelineEventName.HOST_STOPPED);
    this.log.info('host_stopped', {open: server.openRequests});
    await server.close();
    this.siteWatcher.stop();
    this.upstreamProber.stop();
    this.reach.stop();
    this.context.coldRates.stop();
    this.startReports.stop();
    this.fleet.stop();
    this.context.connectionPool.close();
    this.transport.close();
    await Promise.all([
      this.directory.close(),
      this.probes.close(),
      this.peers.close(),
    ]);
  }

  /** Applies changed settings. Addresses take effect at the next start. */
  reload(settings: GatewaySettings): void {
    this.fleet.setSeeds(settings.seedPeers);
    this.context.retryBudgets.setBounds(settings.bounds);
    this.log.info('settings_reloaded', {seeds: settings.seedPeers.join(' ')});
  }

  private applySite(): void {
    const {replica, context} = this;
    const upstreams = replica.upstreams.listInUse(context.clock.nowMs());
    const ids = new Set(upstreams.map(({id}) => id));
    retainUpstreams(context, ids);
    context.pacing.applySite(upstreams, context.clock.nowMs());
    context.coldRates.applySite();
    this.server.checkDepartures();
    const configuration = replica.rules?.configuration;
    if (configuration === undefined || configuration.version === this.version) {
      return;
    }
    this.version = configuration.version;
    this.timeline.record(TimelineEventName.CONFIGURATION_ADOPTED, '', {
      revision: replica.position.revision,
    });
    this.recordReady();
    const unknown = context.homeRegions.listUnknown(configuration);
    if (unknown.length > 0) {
      this.log.warn('home_regions_unknown', {regions: unknown.join(' ')});
    }
    const {limits, routes} = configuration;
    this.server.applyLimits(limits);
    this.server.retainRoutes(new Set(routes.map(({name}) => name)));
  }

  /** Logs, once, that this host can serve requests. */
  private recordReady(): void {
    if (this.wasReady || this.readStage() !== PeerStage.READY) return;
    this.wasReady = true;
    this.startReports.start();
    this.timeline.record(TimelineEventName.HOST_SERVING);
    this.log.info('host_ready', {
      version: this.version,
      ...this.replica.position,
      // The monotonic clock starts with the process.
      sinceStartMs: Math.round(this.clock.nowMs()),
    });
  }

  private readStage(): PeerStage {
    if (this.stage !== PeerStage.READY) return this.stage;
    return this.replica.rules === undefined
      ? PeerStage.STARTING
      : PeerStage.READY;
  }

  /** Whether callers may send requests to this host. */
  private isServing(): boolean {
    return this.readStage() === PeerStage.READY && !this.reach.isOutOfService;
  }
}
