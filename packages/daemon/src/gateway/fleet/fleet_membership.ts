import {
  DigestHistory,
  PeerRoster,
  PeerStage,
  RelayChooser,
  RelaySilence,
  type PeerHeartbeat,
  type PeerSighting,
  type ReachState,
  type RelayChoice,
} from '@parsleywood/membership';
import {
  type FleetMessage,
  type HostBeat,
  type HostDigest,
} from '@parsleywood/schema/fleet';
import type {Delivery} from '@parsleywood/schema/peer';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {Clock} from '../../host/clock.js';
import type {EventLog} from '../../host/event_log.js';
import type {HostTimeline} from '../../host/host_timeline.js';
import type {PeerTransport} from '../../peers/peer_transport.js';
import type {SuspectSynchronizer} from '../../upstreams/suspect_synchronizer.js';
import type {UpdateRelay} from './update_relay.js';
import type {UpdateApplier} from './update_applier.js';
import {ConnectionResets} from './connection_resets.js';
import {decodeHeartbeat} from './decode_heartbeat.js';
import {DeliveryFilter} from './delivery_filter.js';
import {decodeReach} from './decode_reach.js';
import {describeHost} from './describe_host.js';
import {encodeDigest} from './encode_digest.js';
import {PeerLog} from './peer_log.js';
import type {SiteExchange} from '../site/site_exchange.js';
import type {SiteUpdater} from '../site/site_updater.js';

/** Heartbeat interval when hosts send heartbeats to each other directly. */
const HEARTBEAT_INTERVAL_MS = 300;
/** Intervals between heartbeats to relays, and between the digests of a relay. */
const RELAY_HEARTBEAT_INTERVALS = 2;
/**
 * Intervals between announcements of known addresses, and between heartbeats to
 * seeds where relays are used.
 */
const INTRODUCTION_INTERVALS = 4;

/**
 * Tracks the other hosts of the site by heartbeats, and exchanges published
 * state with them.
 */
export class FleetMembership {
  private readonly roster: PeerRoster;
  private readonly relayChooser: RelayChooser;
  private readonly peerLog: PeerLog;
  private readonly subscriberDigests = new DigestHistory();
  private readonly relayDigests = new DigestHistory();
  private readonly connectionResets: ConnectionResets;
  private readonly deliveryFilter = new DeliveryFilter();
  private timer: NodeJS.Timeout | undefined;
  private heartbeatCount = 0;
  /** Hash of the suspects at the last interval; it takes long to compute. */
  private suspectsHash = 0;
  private livePeers: PeerHeartbeat[] = [];
  /** Undefined when all hosts exchange messages directly. */
  private relayChoice: RelayChoice | undefined;
  private readonly relaySilence = new RelaySilence();

  /**
   * @param draw Returns a random number in [0, 1).
   * @param readStage Returns the stage that this host reports to its peers.
   * @param readReach Returns whether it reaches upstreams.
   */
  constructor(
    private readonly settings: GatewaySettings,
    transport: Pick<PeerTransport, 'reset'>,
    private readonly relay: UpdateRelay,
    private readonly applier: UpdateApplier,
    private readonly suspects: SuspectSynchronizer,
    private readonly siteUpdater: SiteUpdater,
    private readonly siteExchange: SiteExchange,
    private readonly clock: Clock,
    private readonly log: EventLog,
    timeline: HostTimeline,
    draw: () => number,
    private readonly readStage: () => PeerStage,
    private readonly readReach: () => ReachState,
  ) {
    this.roster = new PeerRoster(settings.peersAddress, settings.seedPeers);
    this.relayChooser = new RelayChooser(draw);
    this.connectionResets = new ConnectionResets(transport);
    this.peerLog = new PeerLog(log, timeline);
  }

  start(): void {
    this.timer = setInterval(() => {
      this.sendHeartbeats();
    }, HEARTBEAT_INTERVAL_MS);
    this.sendHeartbeats();
  }

  stop(): void {
    clearInterval(this.timer);
    this.relay.stop();
  }

  /** Returns the number of live hosts, including this one. */
  countHosts(): number {
    return this.livePeers.length + 1;
  }

  /** Lists the other live hosts, as IP:port for peers. */
  listPeers(): string[] {
    return this.livePeers.map(({peersAddress}) => peersAddress);
  }

  /** Lists the last heartbeats of the other live hosts. */
  listHeartbeats(): PeerHeartbeat[] {
    return this.roster.listAlive(this.clock.nowMs());
  }

  /** Lists the other live hosts, and when each was heard last. */
  listSightings(): PeerSighting[] {
    return this.roster.listSightings(this.clock.nowMs());
  }

  /** Replaces the seed addresses. */
  setSeeds(seeds: readonly string[]): void {
    this.roster.setSeeds(seeds);
  }

  /** Sends the heartbeats, digests and queries that are due in this interval. */
  sendHeartbeats(): void {
    const nowMs = this.clock.nowMs();
    const tick = this.heartbeatCount++;
    this.suspectsHash = this.suspects.computeHash();
    const isDue =
      this.relayChoice === undefined || tick % RELAY_HEARTBEAT_INTERVALS === 0;
    if (isDue || this.relaySilence.isSilent(nowMs)) {
      this.refreshLivePeers(nowMs);
    }
    if (this.relayChoice === undefined) this.broadcastHeartbeat(tick, nowMs);
    else this.sendHeartbeatToRelays(this.relayChoice, tick, nowMs);
    this.sendDigests(isDue, nowMs);
    this.siteExchange.queryNewestPeer(this.livePeers, nowMs);
  }

  handleDelivery(delivery: Delivery): void {
    const {from, fromIncarnation} = delivery;
    const nowMs = this.clock.nowMs();
    for (const message of this.deliveryFilter.select(delivery, nowMs)) {
      try {
        this.handleMessage(from, fromIncarnation, message);
      } catch (error) {
        this.peerLog.recordFault(from, message, error);
      }
    }
  }

  private broadcastHeartbeat(tick: number, nowMs: number): void {
    const includesKnown = tick % INTRODUCTION_INTERVALS === 0;
    const known = includesKnown ? this.listPeers() : [];
    for (const address of this.roster.listTargets(nowMs)) {
      this.sendHeartbeatTo(address, known, nowMs);
    }
  }

  /**
   * Sends heartbeats to this host's relay, which passes them on to the others. A
   * relay sends them to the other relays, as does a host that starts or stops. Seeds
   * and direct peers get them at times, so that a partitioned part of the site
   * rejoins. A relay of an earlier version passes heartbeats on to its subscribers
   * alone.
   */
  private sendHeartbeatToRelays(
    {relays, subscribedRelay}: RelayChoice,
    tick: number,
    nowMs: number,
  ): void {
    const isSettled = this.readStage() === PeerStage.READY;
    const relay = this.livePeers.find(
      ({peersAddress}) => peersAddress === subscribedRelay,
    );
    const passesOn = relay !== undefined && relay.hosts > 0;
    const usesRelay = subscribedRelay !== undefined && passesOn && isSettled;
    const isDue = tick % RELAY_HEARTBEAT_INTERVALS === 0 || !isSettled;
    const targets = new Set(
      isDue ? (usesRelay ? [subscribedRelay] : relays) : [],
    );
    if (tick % INTRODUCTION_INTERVALS === 0) {
      // Others answer only seeds and relays, or all would go on for ever.
      const isAsked =
        this.roster.isSeed || !usesRelay || this.relay.isRelaying(nowMs);
      const introduced = isAsked
        ? this.roster.listDirectPeers(nowMs)
        : this.roster.listSeeds();
      for (const one of introduced) targets.add(one);
    }
    for (const address of targets) this.sendHeartbeatTo(address, [], nowMs);
  }

  private sendHeartbeatTo(
    address: string,
    knownAddresses: string[],
    nowMs: number,
  ): void {
    const hearsReceiver = this.roster.hearsDirectly(address, nowMs);
    if (!hearsReceiver) this.connectionResets.reset(address, nowMs);
    const value = this.describeSelf(nowMs, {
      hearsReceiver,
      knownAddresses,
      subscribes: address === this.relayChoice?.subscribedRelay,
    });
    this.relay.send(address, {body: {$case: 'beat', value}});
  }

  /**
   * Sends the other relays the hosts that a relay hears itself, and its subscribers
   * all hosts that it knows of.
   *
   * @param isDue Whether a digest to subscribers is due, and not to relays alone.
   */
  private sendDigests(isDue: boolean, nowMs: number): void {
    const subscribers = this.relay.listSubscribers(nowMs);
    if (subscribers.length === 0) return;
    const sightings = this.roster.listSightings(nowMs);
    const heard = this.relayDigests.split(
      sightings.filter(({beat}) =>
        this.roster.hearsDirectly(beat.peersAddress, nowMs),
      ),
    );
    const relays = this.relayChoice?.relays ?? [];
    this.sendDigestTo(relays, heard.changed, heard.unchanged);
    if (!isDue) return;
    const known = this.subscriberDigests.split(sightings);
    this.sendDigestTo(subscribers, known.changed, known.unchanged);
  }

  /** @param unchanged Hosts that are as the digest before told. */
  private sendDigestTo(
    addresses: readonly string[],
    sightings: readonly PeerSighting[],
    unchanged: readonly PeerSighting[] = [],
  ): void {
    const nowMs = this.clock.nowMs();
    const store = this.siteExchange.describeContact();
    const digest = encodeDigest(sightings, unchanged, store, nowMs);
    const message: FleetMessage = {body: {$case: 'digest', value: digest}};
    for (const address of addresses) this.relay.send(address, message);
  }

  private handleMessage(
    host: string,
    incarnation: string,
    message: FleetMessage,
  ): void {
    const nowMs = this.clock.nowMs();
    this.siteExchange.recordMessage(host, nowMs);
    this.relaySilence.recordMessage(host, nowMs);
    if (this.applyUpdate(host, message, nowMs)) {
      this.relay.forward(host, message);
      return;
    }
    const {body} = message;
    switch (body?.$case) {
      case 'beat':
        this.handleHeartbeat(incarnation, body.value, nowMs);
        break;
      case 'digest':
        this.handleDigest(host, body.value, nowMs);
        break;
      case 'relayed':
        for (const {host: origin, message: news} of body.value.news) {
          if (news !== undefined) this.applyUpdate(origin, news, nowMs);
        }
        break;
      case 'suspectSummary':
        this.suspects.handleSummary(host, body.value);
        break;
      case 'suspectRecords':
        this.suspects.handleRecords(body.value);
        break;
      case 'placementsInProgress':
        this.applier.exchange?.apply(body.value, nowMs);
        break;
      case 'siteQuery':
        this.siteExchange.answerQuery(host, body.value);
        break;
      case 'siteState':
        this.siteExchange.handleState(host, body.value);
        break;
      case 'siteDelta':
        this.siteExchange.handleDelta(host, body.value, nowMs);
        break;
    }
  }

  /** Applies an update that other hosts have to learn as well, if it is one. */
  private applyUpdate(
    host: string,
    message: FleetMessage,
    nowMs: number,
  ): boolean {
    const {body} = message;
    if (body?.$case !== 'upstreamReach') {
      return this.applier.apply(host, message, nowMs);
    }
    this.roster.recordReach(host, decodeReach(body.value));
    return true;
  }

  private handleHeartbeat(
    incarnation: string,
    beat: HostBeat,
    nowMs: number,
  ): void {
    const {peersAddress, hearsReceiver, subscribes, hosts} = beat;
    const replaced = this.roster.recordHeartbeat(
      decodeHeartbeat(beat, incarnation),
      nowMs,
    );
    if (replaced !== undefined) this.applier.dropHost(peersAddress);
    this.relay.subscribe(peersAddress, subscribes, nowMs);
    this.suspects.handleHash(peersAddress, beat.suspectsHash, nowMs);
    if (!hearsReceiver) this.announceTo(peersAddress, nowMs);
    else if (this.knowsFarMoreThan(hosts)) {
      this.sendDigestTo([peersAddress], this.listSightings());
    }
    if (!hearsReceiver || replaced !== undefined) {
      const news = this.applier.listUpstreamNews(nowMs);
      for (const message of news) this.relay.send(peersAddress, message);
    }
    const relays = this.relayChoice?.relays;
    this.applier.exchange?.tell(beat, incarnation, relays, nowMs);
    const isKnown = this.livePeers.some(
      one => one.peersAddress === peersAddress,
    );
    if (!isKnown) this.refreshLivePeers(nowMs);
  }

  /**
   * Sends heartbeat and digest to a host that does not receive heartbeats of
   * this one, because it may be new.
   */
  private announceTo(address: string, nowMs: number): void {
    this.connectionResets.reset(address, nowMs);
    if (this.relayChoice === undefined) return;
    this.sendHeartbeatTo(address, [], nowMs);
    this.sendDigestTo([address], this.listSightings());
  }

  /**
   * Whether a host knows so few others that it is on its own beside a large fleet:
   * the digest that it got at its start came before this host knew the others.
   */
  private knowsFarMoreThan(hosts: number): boolean {
    const isTold = hosts > 0 && this.relayChoice !== undefined;
    return isTold && hosts * 2 < this.countHosts();
  }

  private handleDigest(
    host: string,
    {sightings, store, pulses}: HostDigest,
    nowMs: number,
  ): void {
    this.siteExchange.recordContact(host, store, nowMs);
    for (const {beat, incarnation, silentMs} of sightings) {
      if (beat === undefined) continue;
      const replaced = this.roster.recordRelayedHeartbeat(
        decodeHeartbeat(beat, incarnation),
        nowMs - silentMs,
      );
      if (replaced !== undefined) this.applier.dropHost(beat.peersAddress);
    }
    for (const {peersAddress, silentMs} of pulses) {
      this.roster.extendSighting(peersAddress, nowMs - silentMs);
    }
    // The next heartbeat refreshes the peers, but a new host does not wait for it.
    if (sightings.length > this.livePeers.length) this.refreshLivePeers(nowMs);
  }

  private refreshLivePeers(nowMs: number): void {
    const before = this.livePeers;
    this.livePeers = this.roster.listAlive(nowMs);
    this.peerLog.record(before, this.livePeers);
    this.chooseRelays(nowMs);
  }

  private chooseRelays(nowMs: number): void {
    const {subscribedRelay: source} = this.relayChoice ?? {};
    this.relayChoice = this.relayChooser.choose(
      decodeHeartbeat(this.describeSelf(nowMs), ''),
      this.livePeers,
      address => this.relaySilence.isAvoided(address, nowMs),
    );
    this.roster.setRelayed(this.relayChoice !== undefined);
    this.relay.setRecipients(this.relayChoice?.relays ?? this.listPeers());
    this.siteExchange.setRelay(this.relayChoice?.subscribedRelay);
    if (this.relayChoice?.subscribedRelay === source) return;
    const {subscribedRelay, relays = []} = this.relayChoice ?? {};
    this.relaySilence.setRelay(subscribedRelay, nowMs);
    if (subscribedRelay) this.sendHeartbeatTo(subscribedRelay, [], nowMs);
    this.log.info('relay_chosen', {
      relay: subscribedRelay,
      before: source,
      relays: relays.length,
      hosts: this.countHosts(),
    });
  }

  private describeSelf(
    nowMs: number,
    changes: Partial<HostBeat> = {},
  ): HostBeat {
    return describeHost(
      this.settings,
      this.readStage(),
      this.readReach(),
      this.siteUpdater,
      {
        relays: this.relay.isRelaying(nowMs),
        suspectsHash: this.suspectsHash,
        hosts: this.countHosts(),
        ...changes,
      },
    );
  }
}
