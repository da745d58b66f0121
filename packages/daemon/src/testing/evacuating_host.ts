import {
  HomeRegions,
  SiteReplica,
  type RouteMatch,
  type SiteDelta,
  type SiteSnapshot,
  type UpstreamEntry,
} from '@parsleywood/forwarding';
import type {PeerHeartbeat} from '@parsleywood/membership';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import {EligibleUpstreams} from '../gateway/attempts/eligible_upstreams.js';
import type {GatewayMetrics} from '../gateway/gateway_metrics.js';
import type {UpdateRelay} from '../gateway/fleet/update_relay.js';
import {SiteExchange} from '../gateway/site/site_exchange.js';
import {SiteUpdater} from '../gateway/site/site_updater.js';
import type {EventLog} from '../host/event_log.js';
import type {EvacuatingStore} from './evacuating_store.js';

/** Time after which a host without a list of evacuations loads one. */
const LIST_WAIT_MS = 1_500;

/** One host on virtual time; one of an earlier version knows no evacuations. */
export class EvacuatingHost {
  readonly replica = new SiteReplica();
  private readonly updater: SiteUpdater;
  private readonly exchange: SiteExchange;
  private isReadingStore = false;

  /** @param send Sends a message to another host. */
  constructor(
    readonly name: string,
    readonly isOld: boolean,
    private readonly readNowMs: () => number,
    private readonly listOthers: () => readonly string[],
    send: (to: string, message: FleetMessage) => void,
  ) {
    const clock = {nowMs: readNowMs, wallMs: readNowMs};
    const ignore = (): undefined => undefined;
    const log = {info: ignore, warn: ignore} as unknown as EventLog;
    this.updater = new SiteUpdater(this.replica, clock, log, ignore, delta => {
      this.exchange.publish(this.forget(delta));
    });
    this.exchange = new SiteExchange(
      this.updater,
      {listSubscribers: this.listOthers, send} as unknown as UpdateRelay,
      () => this.describe(),
      clock,
      log,
      {siteDeltas: {inc: ignore}} as unknown as GatewayMetrics,
    );
  }

  get beat(): PeerHeartbeat {
    const {position, version} = this.updater;
    return {...position, version, peersAddress: this.name} as PeerHeartbeat;
  }

  /** Reads the store once, as a watcher does. */
  read(store: EvacuatingStore, isOnDuty: boolean): void {
    const {updater} = this;
    const {evacuations} = updater;
    const lackMs = evacuations.measureListLackMs() ?? 0;
    const isNew = store.epoch > updater.position.epoch;
    if (!isNew && !isOnDuty && !evacuations.isBehind) return;
    this.isReadingStore = true;
    if (isNew || lackMs >= LIST_WAIT_MS) {
      updater.applySnapshot(store.list(), 'store');
      updater.recordStoreCall(true);
    } else {
      const {epoch, revision} = evacuations.watchPosition;
      updater.recordStoreCall(true);
      if (epoch === store.epoch) updater.applyChange(store.watch(revision));
    }
    this.isReadingStore = false;
  }

  failToRead(): void {
    this.updater.recordStoreCall(false);
  }

  askPeers(beats: readonly PeerHeartbeat[]): void {
    this.exchange.queryNewestPeer(beats, this.readNowMs());
  }

  handle(from: string, {body}: FleetMessage): void {
    if (body?.$case === 'siteDelta') {
      this.exchange.handleDelta(from, body.value, this.readNowMs());
    } else if (body?.$case === 'siteState') {
      this.exchange.handleState(from, body.value);
    } else if (body?.$case === 'siteQuery') {
      this.exchange.answerQuery(from, body.value);
    }
  }

  /** Lists the upstreams that a new request may use. */
  choose(match: RouteMatch, draw: number): UpstreamEntry[] {
    const context = {
      replica: this.replica,
      homeRegions: new HomeRegions({a: 'north', b: 'north', c: 'south'}),
      clock: {nowMs: this.readNowMs, wallMs: this.readNowMs},
      draw: () => draw,
    };
    return new EligibleUpstreams(context, match, 's').list();
  }

  /** A host of an earlier version passes on what peers tell, and no more. */
  private forget(delta: SiteDelta): SiteDelta {
    const isOwn = this.isReadingStore || delta.isDifference === true;
    return this.isOld && isOwn ? dropEvacuations(delta) : delta;
  }

  private describe(): SiteSnapshot {
    const snapshot = this.replica.createSnapshot(this.readNowMs());
    if (!this.isOld) return snapshot;
    const {epoch, revision, upstreams} = snapshot;
    return {epoch, revision, upstreams};
  }
}

function dropEvacuations({
  evacuated: _evacuated,
  restored: _restored,
  ...delta
}: SiteDelta): SiteDelta {
  return delta;
}
