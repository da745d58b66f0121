import {gunzipSync, gzipSync} from 'node:zlib';
import {
  comparePositions,
  SiteDeltaLog,
  WatchDuty,
  type SiteChange,
  type SiteDelta,
  type SiteSnapshot,
  type StorePosition,
} from '@parsleywood/forwarding';
import type {PeerHeartbeat} from '@parsleywood/membership';
import type {
  FleetMessage,
  SiteDelta as SiteDeltaMessage,
  SiteQuery,
  SiteState,
  StoreContact,
} from '@parsleywood/schema/fleet';
import type {Clock} from '../../host/clock.js';
import type {EventLog} from '../../host/event_log.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {EvacuationQueries} from './evacuation_queries.js';
import type {SiteUpdater} from './site_updater.js';
import type {UpdateRelay} from '../fleet/update_relay.js';

/**
 * Time for which a host waits for the store, or for its relay, before it queries a
 * peer with a newer revision.
 */
const PEER_QUERY_DELAY_MS = 400;
/** Minimum time between two queries for a gap in the deltas. */
const GAP_QUERY_INTERVAL_MS = 200;
/**
 * Exchanges the published state with the other hosts: passes changes on to
 * subscribers, and asks peers for what was missed.
 */
export class SiteExchange {
  private readonly deltas = new SiteDeltaLog();
  private readonly duty = new WatchDuty();
  private relayAddress: string | undefined;
  private peerAheadSinceMs = Infinity;
  private queriedAtMs = -Infinity;
  private readonly evacuationQueries = new EvacuationQueries();

  constructor(
    private readonly updater: SiteUpdater,
    private readonly relay: UpdateRelay,
    private readonly readSnapshot: () => SiteSnapshot,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly metrics: GatewayMetrics,
  ) {}

  /** Whether this host reads the store itself. */
  mustWatch(): boolean {
    const {isBehind} = this.updater.evacuations;
    return isBehind || this.duty.mustWatch(this.clock.nowMs());
  }

  /** Sets the relay that passes changes on to this host, if there is one. */
  setRelay(address: string | undefined): void {
    this.relayAddress = address;
    this.duty.setRelay(address);
  }

  recordMessage(host: string, nowMs: number): void {
    this.duty.recordMessage(host, nowMs);
  }

  recordContact(
    host: string,
    contact: StoreContact | undefined,
    nowMs: number,
  ): void {
    this.duty.recordContact(host, contact?.ageMs, nowMs);
  }

  /** Describes this host's contact with the store for its subscribers. */
  describeContact(): StoreContact | undefined {
    const {updater} = this;
    if (!updater.isStoreReachable) return undefined;
    return {ageMs: updater.getStoreAgeMs()};
  }

  /** Passes a change on that this host has applied. */
  publish(delta: SiteDelta): void {
    this.deltas.add(delta, this.clock.nowMs());
    const subscribers = this.relay.listSubscribers(this.clock.nowMs());
    if (subscribers.length === 0) return;
    const message = encodeDelta(this.updater.evacuations.stampAge(delta));
    for (const address of subscribers) this.relay.send(address, message);
    this.metrics.siteDeltas.inc({direction: 'sent'}, subscribers.length);
  }

  handleDelta(host: string, message: SiteDeltaMessage, nowMs: number): void {
    this.metrics.siteDeltas.inc({direction: 'received'});
    const delta = decodeDelta(message);
    const tells = delta.evacuated !== undefined;
    if (tells) this.evacuationQueries.recordTeller(host);
    const isApplied = this.updater.applyDelta(delta, host);
    if (isApplied && tells) this.queryMissedEvacuations(host, nowMs);
    if (isApplied || nowMs - this.queriedAtMs < GAP_QUERY_INTERVAL_MS) return;
    this.log.info('site_delta_missed', {
      from: host,
      ...this.updater.position,
      fromRevision: message.fromRevision,
    });
    this.query(host, nowMs);
  }

  handleState(host: string, {json}: SiteState): void {
    this.updater.applySnapshot(decodeSnapshot(json), host);
  }

  /** Answers with the changes since the peer's position, or else with all. */
  answerQuery(host: string, query: SiteQuery): void {
    const {updater} = this;
    const snapshot = this.readSnapshot();
    const held = updater.evacuations.describeHeld();
    if (held !== undefined) this.relay.send(host, encodeDelta(held));
    const isAhead = comparePositions(snapshot, query) > 0;
    const hasNewerVersion = updater.version > query.version;
    if (!isAhead && !hasNewerVersion) return;
    const deltas = isAhead
      ? this.deltas.listSince(query, this.clock.nowMs())
      : undefined;
    // A version that the store lost with its history is in no delta.
    const suffices =
      deltas !== undefined &&
      (!hasNewerVersion ||
        deltas.some(
          ({configuration}) => configuration?.version === updater.version,
        ));
    if (suffices) {
      for (const delta of deltas) {
        this.relay.send(host, encodeDelta(updater.evacuations.stampAge(delta)));
      }
      return;
    }
    const json = JSON.stringify(snapshot);
    // A host's name among peers is its address for peers.
    this.relay.send(host, {
      body: {$case: 'siteState', value: {revision: snapshot.revision, json}},
    });
  }

  /**
   * Queries the peer with the newest configuration, or else the latest position of
   * the store, when neither store nor relay has delivered them. A store that came
   * back from a copy may lack a configuration that some hosts have.
   */
  queryNewestPeer(peers: readonly PeerHeartbeat[], nowMs: number): void {
    const {position, version, evacuations} = this.updater;
    const asked = this.evacuationQueries.choose(
      peers.map(({peersAddress}) => peersAddress),
      position.revision > 0,
      evacuations.isBehind,
      nowMs,
    );
    for (const peer of asked) this.query(peer, nowMs, evacuations.position);
    const ahead = peers.filter(
      peer => peer.version > version || comparePositions(peer, position) > 0,
    );
    const [best] = ahead.sort(
      (left, right) =>
        right.version - left.version ||
        this.preferRelay(left, right) ||
        comparePositions(right, left),
    );
    if (best === undefined) {
      this.peerAheadSinceMs = Infinity;
      return;
    }
    this.peerAheadSinceMs = Math.min(this.peerAheadSinceMs, nowMs);
    if (nowMs - this.peerAheadSinceMs < PEER_QUERY_DELAY_MS) return;
    this.query(best.peersAddress, nowMs);
  }

  /** Asks a peer that knows the evacuations before those that it has just told. */
  private queryMissedEvacuations(host: string, nowMs: number): void {
    const {isBehind, position} = this.updater.evacuations;
    if (!isBehind || nowMs - this.queriedAtMs < GAP_QUERY_INTERVAL_MS) return;
    this.query(host, nowMs, position);
  }

  private preferRelay(left: PeerHeartbeat, right: PeerHeartbeat): number {
    const isRelay = ({peersAddress}: PeerHeartbeat): number =>
      peersAddress === this.relayAddress ? 1 : 0;
    return isRelay(right) - isRelay(left);
  }

  private query(
    host: string,
    nowMs: number,
    position: StorePosition = this.updater.position,
  ): void {
    this.queriedAtMs = nowMs;
    const {version} = this.updater;
    this.relay.send(host, {
      body: {$case: 'siteQuery', value: {...position, version}},
    });
  }
}

function encodeDelta(delta: SiteDelta): FleetMessage {
  const {epoch, fromRevision, revision, mayHaveExpired, ...change} = delta;
  return {
    body: {
      $case: 'siteDelta',
      value: {
        epoch,
        fromRevision,
        revision,
        mayHaveExpired,
        change: gzipSync(JSON.stringify(change)),
      },
    },
  };
}

function decodeDelta({change, ...message}: SiteDeltaMessage): SiteDelta {
  const text = gunzipSync(change).toString();
  return {
    ...(JSON.parse(text) as Omit<SiteChange, 'epoch' | 'revision'>),
    ...message,
  };
}

/** Hosts of earlier versions tell no epoch. */
function decodeSnapshot(json: string): SiteSnapshot {
  const snapshot = JSON.parse(json) as SiteSnapshot & {epoch?: number};
  return {...snapshot, epoch: snapshot.epoch ?? 0};
}
