import {setTimeout as pause} from 'node:timers/promises';
import {
  PlacementBook,
  UpstreamChooser,
  UpstreamHealth,
} from '@parsleywood/dispatch';
import {SiteLedger} from '@parsleywood/forwarding';
import {PeerStage} from '@parsleywood/membership';
import {TimelineEventName} from '@parsleywood/timeline';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {drawSeed} from '../host/draw_seed.js';
import {EventLog} from '../host/event_log.js';
import {HostMetrics} from '../host/host_metrics.js';
import {HostTimeline} from '../host/host_timeline.js';
import {nameIncarnation} from '../host/name_incarnation.js';
import {parseAddress} from '../host/parse_address.js';
import {gatherTimeline} from '../peers/gather_timeline.js';
import {PeerServer} from '../peers/peer_server.js';
import {PeerTransport} from '../peers/peer_transport.js';
import {SuspectDesk} from '../upstreams/suspect_desk.js';
import {SystemClock} from '../host/system_clock.js';
import {DirectoryServer} from './directory_server.js';
import {FleetCalls} from './peer_call_handler.js';
import {FleetLink} from './fleet_membership.js';
import type {GatewayDialect} from './gateway_dialect.js';
import {GatewayMetrics} from './gateway_metrics.js';
import type {GatewayParts} from './gateway_context.js';
import {GatewayServer} from './gateway_server.js';
import {NewsRelay} from './update_relay.js';
import {NewsTaker} from './update_applier.js';
import {ProbeServer} from './probe_server.js';
import type {ReservationCalls} from './reservation_calls.js';
import {RetryBudgets} from './retry_budgets.js';
import {SiteFollower} from './site_watcher.js';
import {SiteKeeper} from './site_updater.js';
import type {SiteSource} from './site_source.js';
import {UpstreamConnections} from './upstream_connection_pool.js';
import {UpstreamWatch} from './upstream_prober.js';

/** Hosts of one site know each other by their network; the key guards no more. */
const PEER_KEY = 'parsleywood-gateway';
/** Longest time for which this directory's answers may be kept. */
const MAX_DIRECTORY_TTL_MS = 1_000;
/** Time in which callers still come after a stop began: they learn it by then. */
const LEAVING_MS = 3_000;
/** Time kept free at the end of the grace for closing what is left. */
const CLOSING_MS = 1_000;
const CHECK_OPEN_MS = 50;

/** One host that forwards requests by published routes. */
export class GatewayHost {
  private readonly clock = new SystemClock();
  private readonly log: EventLog;
  private readonly timeline: HostTimeline;
  private readonly ledger = new SiteLedger();
  private readonly metrics = new GatewayMetrics(new HostMetrics());
  private readonly transport: PeerTransport;
  private readonly keeper: SiteKeeper;
  private readonly follower: SiteFollower;
  private readonly fleet: FleetLink;
  private readonly watch: UpstreamWatch;
  private readonly parts: GatewayParts;
  private readonly server: GatewayServer;
  private readonly directory: DirectoryServer;
  private readonly probes: ProbeServer;
  private readonly peers: PeerServer;
  private stage = PeerStage.STARTING;
  private stopping: Promise<void> | undefined;
  private version = 0;
  private wasReady = false;

  constructor(
    private readonly settings: GatewaySettings,
    source: SiteSource,
    reservations: ReservationCalls,
    dialect: GatewayDialect,
  ) {
    const {clock, ledger, metrics} = this;
    const {peersAddress, bounds, failureDomain} = settings;
    const incarnation = nameIncarnation(peersAddress, clock.wallMs());
    this.log = new EventLog(
      {...incarnation, host: settings.host},
      settings.logLevel ?? 'info',
    );
    const {log} = this;
    this.timeline = new HostTimeline(incarnation, clock);
    const {timeline} = this;
    this.transport = new PeerTransport(
      incarnation,
      PEER_KEY,
      timeline,
      metrics.host,
      host => host,
    );
    const generator = xoroshiro128plus(drawSeed());
    const draw = (): number => uniformFloat64(generator);
    this.keeper = new SiteKeeper(ledger, clock, log, () => {
      this.takeSite();
    });
    this.follower = new SiteFollower(
      source,
      this.keeper,
      log,
      metrics,
      () => this.fleet.countHosts(),
      draw,
    );
    const relay = new NewsRelay(peersAddress, this.transport);
    const book = new PlacementBook();
    const health = new UpstreamHealth();
    const suspects = new SuspectDesk(clock, news => {
      relay.tellSuspect(news);
    });
    this.watch = new UpstreamWatch(health, ledger, clock);
    this.fleet = new FleetLink(
      settings,
      this.transport,
      relay,
      new NewsTaker(book, health, suspects),
      this.keeper,
      () => ledger.snapshot(),
      clock,
      log,
      timeline,
      draw,
      () => this.readStage(),
    );
    this.parts = {
      clock,
      log,
      timeline,
      metrics,
      names: dialect.headers,
      ledger,
      book,
      health,
      chooser: new UpstreamChooser(settings.host, failureDomain, book, health),
      budgets: new RetryBudgets(bounds, clock, () => this.fleet.countHosts()),
      connections: new UpstreamConnections(clock),
      fleet: relay,
      reservations,
      suspects,
      draw,
    };
    this.server = new GatewayServer(this.parts);
    this.directory = new DirectoryServer(
      dialect.directory,
      () => this.listHosts(),
      Math.min(bounds.directoryTtlMs, MAX_DIRECTORY_TTL_MS),
    );
    this.probes = new ProbeServer(
      dialect.readinessPath,
      () => this.readStage() === PeerStage.READY,
      metrics,
      () => {
        metrics.openRequests.set(this.server.openRequests);
        metrics.droppedLogLines.set(log.droppedLines());
      },
      query =>
        gatherTimeline(
          timeline.read(query),
          this.fleet.listPeers(),
          this.transport,
          query,
        ),
    );
    this.peers = new PeerServer(
      PEER_KEY,
      new FleetCalls(
        this.fleet,
        timeline,
        () => this.describe(),
        () => {
          void this.stop();
        },
      ),
    );
  }

  async start(): Promise<void> {
    const {settings} = this;
    const at = (address: string): [string, number] => {
      const {host, port} = parseAddress(address);
      return [host, port];
    };
    this.timeline.record(TimelineEventName.HOST_STARTED);
    this.follower.start();
    this.watch.start();
    await this.peers.listen(settings.peersAddress);
    this.fleet.start();
    await this.probes.listenForReadiness(...at(settings.readinessAddress));
    await this.probes.listenForMetrics(...at(settings.metricsAddress));
    await this.directory.listen(...at(settings.directoryAddress));
    await this.server.listen(...at(settings.callersAddress));
    this.stage = PeerStage.READY;
    this.log.info('host_started', {peersAddress: settings.peersAddress});
    this.noteReady();
  }

  /** Stops after open requests have their answers, or when the grace ends. */
  stop(): Promise<void> {
    this.stopping ??= this.stopGracefully();
    return this.stopping;
  }

  private async stopGracefully(): Promise<void> {
    const beganMs = this.clock.nowMs();
    this.stage = PeerStage.STOPPING;
    this.timeline.record(TimelineEventName.HOST_DRAINING);
    this.log.info('host_stopping', {open: this.server.openRequests});
    this.fleet.sendBeats();
    this.server.startLeaving();
    await pause(LEAVING_MS);
    this.server.startRefusing();
    const untilMs = beganMs + this.settings.bounds.stopGraceMs - CLOSING_MS;
    while (this.server.openRequests > 0 && this.clock.nowMs() < untilMs) {
      await pause(CHECK_OPEN_MS);
    }
    this.timeline.record(TimelineEventName.HOST_STOPPED);
    this.log.info('host_stopped', {open: this.server.openRequests});
    this.follower.stop();
    this.watch.stop();
    this.fleet.stop();
    this.parts.connections.close();
    this.transport.close();
    await Promise.all([
      this.server.close(),
      this.directory.close(),
      this.probes.close(),
      this.peers.close(),
    ]);
  }

  /** Takes changed settings; addresses stay until the next start. */
  reload(settings: GatewaySettings): void {
    this.fleet.setSeeds(settings.seedPeers);
    this.parts.budgets.setBounds(settings.bounds);
    const seeds = settings.seedPeers.join(' ');
    this.log.info('settings_reloaded', {seeds});
  }

  private takeSite(): void {
    const {ledger, parts} = this;
    const ids = new Set(ledger.upstreams.listed().map(({id}) => id));
    parts.connections.retain(ids);
    parts.health.retain(ids);
    parts.book.retain(ids);
    const configuration = ledger.rules?.configuration;
    if (configuration === undefined || configuration.version === this.version) {
      return;
    }
    this.version = configuration.version;
    this.timeline.record(TimelineEventName.CONFIGURATION_ADOPTED, '', {
      revision: ledger.revision,
    });
    this.noteReady();
    this.server.applyLimits(configuration.limits);
  }

  /** Tells once that this host can answer. */
  private noteReady(): void {
    if (this.wasReady || this.readStage() !== PeerStage.READY) return;
    this.wasReady = true;
    this.timeline.record(TimelineEventName.HOST_SERVING);
    this.log.info('host_ready', {
      version: this.version,
      revision: this.ledger.revision,
      // The monotonic clock starts with the process.
      sinceStartMs: Math.round(this.clock.nowMs()),
    });
  }

  private readStage(): PeerStage {
    if (this.stage !== PeerStage.READY) return this.stage;
    return this.ledger.rules === undefined
      ? PeerStage.STARTING
      : PeerStage.READY;
  }

  /** IP:port for callers of the hosts that take work. */
  private listHosts(): string[] {
    const own =
      this.readStage() === PeerStage.READY
        ? [this.settings.callersAddress]
        : [];
    return [...own, ...this.fleet.listReady()];
  }

  private describe(): object {
    return {
      name: this.settings.host,
      failureDomain: this.settings.failureDomain,
      state: this.readStage(),
      revision: this.ledger.revision,
      version: this.version,
      storeAgeMs: this.keeper.ageMs(),
      hosts: this.fleet.countHosts(),
    };
  }
}
