import {
  PlacementRegistry,
  StartView,
  UpstreamHealth,
  UpstreamLimits,
} from '@parsleywood/dispatch';
import {SiteReplica} from '@parsleywood/forwarding';
import {PeerStage} from '@parsleywood/membership';
import type {PeerMessage} from '@parsleywood/schema/peer';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {FleetMembership} from '../gateway/fleet/fleet_membership.js';
import {GatewayMetrics} from '../gateway/gateway_metrics.js';
import {PlacementExchange} from '../gateway/fleet/placement_exchange.js';
import {SiteExchange} from '../gateway/site/site_exchange.js';
import {SiteUpdater} from '../gateway/site/site_updater.js';
import {UpdateApplier} from '../gateway/fleet/update_applier.js';
import {UpstreamPacing} from '../gateway/upstreams/upstream_pacing.js';
import {UpdateRelay} from '../gateway/fleet/update_relay.js';
import {EventLog} from '../host/event_log.js';
import {HostMetrics} from '../host/host_metrics.js';
import {HostTimeline} from '../host/host_timeline.js';
import {SuspectLog} from '../upstreams/suspect_log.js';
import {SuspectSynchronizer} from '../upstreams/suspect_synchronizer.js';
import {SuspectTracker} from '../upstreams/suspect_tracker.js';
import {VirtualReach} from './virtual_reach.js';

const STEP_MS = 10;
const LATENCY_MS = 10;
const HEARTBEAT_INTERVAL_MS = 300;
const REACH_CHECK_INTERVAL_MS = 250;
const SEEDS = 3;
const STRONG_SHARE = 1.35;
const WEAK_SHARE = 0.324;

interface VirtualHost {
  readonly address: string;
  readonly failureDomain: string;
  readonly reach: VirtualReach;
  readonly reachPhaseMs: number;
  readonly fleet: FleetMembership;
  readonly updater: SiteUpdater;
  readonly exchange: SiteExchange;
  readonly relay: UpdateRelay;
  readonly placements: PlacementRegistry;
  readonly view: StartView;
  nextTickMs: number;
  isAlive: boolean;
  sent: number;
}

interface Envelope {
  readonly atMs: number;
  readonly from: string;
  readonly to: string;
  readonly message: PeerMessage;
}

/** Hosts of one large site on virtual time, which exchange messages in memory. */
export class VirtualFleet {
  readonly hosts: VirtualHost[];
  nowMs = 0;
  /** Whether messages from one address to another are lost. */
  isCut: (from: string, to: string) => boolean = () => false;
  /** Whether messages from one address to another arrive only later. */
  isHeld: (from: string, to: string) => boolean = () => false;
  private queue: Envelope[] = [];
  private readonly byAddress: ReadonlyMap<string, VirtualHost>;

  constructor(count: number, domains: number, seed: number) {
    const generator = xoroshiro128plus(seed);
    const draw = (): number => uniformFloat64(generator);
    const addresses = Array.from({length: count}, (_none, at) => `h${at}:1`);
    this.hosts = addresses.map((address, at) =>
      this.createHost(
        address,
        `d${at % domains}`,
        at < domains * 3 ? STRONG_SHARE : WEAK_SHARE,
        addresses.slice(0, SEEDS),
        draw,
      ),
    );
    this.byAddress = new Map(this.hosts.map(host => [host.address, host]));
  }

  get liveHosts(): VirtualHost[] {
    return this.hosts.filter(({isAlive}) => isAlive);
  }

  /** Hosts that watch the store: all relays, and those that hear none. */
  get watchers(): VirtualHost[] {
    return this.liveHosts.filter(({exchange}) => exchange.mustWatch());
  }

  /** Runs the hosts. @param onStep Called after each step of 10 ms. */
  run(ms: number, onStep: () => void = () => undefined): void {
    for (const untilMs = this.nowMs + ms; this.nowMs < untilMs;) {
      this.nowMs += STEP_MS;
      this.deliver();
      for (const host of this.liveHosts) {
        host.reach.step(this.nowMs, host.reachPhaseMs);
        if (host.nextTickMs > this.nowMs) continue;
        host.nextTickMs += HEARTBEAT_INTERVAL_MS;
        host.fleet.sendHeartbeats();
      }
      onStep();
    }
  }

  /** Starts a host that was not alive. */
  join(host: VirtualHost): void {
    host.isAlive = true;
    host.nextTickMs = this.nowMs;
    host.view.begin(this.nowMs);
  }

  /** Lets the store answer all watchers, with a change up to a revision. */
  answerWatches(revision: number): void {
    for (const {updater} of this.watchers) {
      updater.recordStoreCall(true);
      updater.applyChange({epoch: 0, revision, updated: [], removed: []});
    }
  }

  private deliver(): void {
    const due: Envelope[] = [];
    const rest: Envelope[] = [];
    for (const one of this.queue) {
      const isDue = one.atMs <= this.nowMs && !this.isHeld(one.from, one.to);
      (isDue ? due : rest).push(one);
    }
    this.queue = rest;
    for (const {atMs, from, to, message} of due) {
      const host = this.byAddress.get(to);
      if (!host?.isAlive || this.isCut(from, to)) continue;
      host.fleet.handleDelivery({
        from,
        fromIncarnation: '1',
        hybridTime: {wallMs: atMs - LATENCY_MS, counter: 0},
        messages: [message],
      });
    }
  }

  private createHost(
    address: string,
    failureDomain: string,
    processorShare: number,
    seedPeers: string[],
    draw: () => number,
  ): VirtualHost {
    const clock = {nowMs: () => this.nowMs, wallMs: () => this.nowMs};
    const self = {host: address, id: '1'};
    const log = new EventLog(self, 'error');
    const metrics = new GatewayMetrics(new HostMetrics());
    const replica = new SiteReplica();
    const relay = new UpdateRelay(address, {
      send: (to, message) => {
        host.sent++;
        const atMs = this.nowMs + LATENCY_MS;
        this.queue.push({atMs, from: address, to, message});
      },
    });
    const updater = new SiteUpdater(
      replica,
      clock,
      log,
      () => undefined,
      delta => {
        exchange.publish(delta);
      },
    );
    const exchange = new SiteExchange(
      updater,
      relay,
      () => replica.createSnapshot(clock.nowMs()),
      clock,
      log,
      metrics,
    );
    const limits = new UpstreamLimits(draw);
    const placements = new PlacementRegistry();
    const view = new StartView(0, () => true);
    const health = new UpstreamHealth();
    const suspects: SuspectTracker = new SuspectTracker(
      clock,
      relay,
      new SuspectLog(log, metrics.host),
      () => fleet.countHosts(),
      draw(),
    );
    const fleet: FleetMembership = new FleetMembership(
      {
        host: address,
        failureDomain,
        callersAddress: address,
        readinessAddress: address,
        directoryAddress: address,
        peersAddress: address,
        metricsAddress: address,
        processorShare,
        seedPeers,
        bounds: {
          stopGraceMs: 1,
          retryRatio: 1,
          retrySlack: 1,
          retryWindowMs: 1,
          directoryTtlMs: 1,
        },
      },
      {reset: () => undefined},
      relay,
      new UpdateApplier(
        placements,
        health,
        limits,
        suspects,
        replica.upstreams.leaving,
        new UpstreamPacing({placements, health, replica, log}, {}),
        new PlacementExchange(placements, view, address, relay, () => true),
      ),
      new SuspectSynchronizer(suspects, relay),
      updater,
      exchange,
      clock,
      log,
      new HostTimeline(self, clock),
      draw,
      () => PeerStage.READY,
      () => reach.getState(this.nowMs),
    );
    const reach = new VirtualReach(
      () => fleet.listHeartbeats(),
      state => {
        relay.publishReach(state);
      },
    );
    const nextTickMs = draw() * HEARTBEAT_INTERVAL_MS;
    const host: VirtualHost = {
      address,
      failureDomain,
      reach,
      reachPhaseMs: nextTickMs % REACH_CHECK_INTERVAL_MS,
      fleet,
      updater,
      exchange,
      relay,
      placements,
      view,
      nextTickMs,
      isAlive: true,
      sent: 0,
    };
    return host;
  }
}
