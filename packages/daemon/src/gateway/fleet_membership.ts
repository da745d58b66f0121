import {
  PeerRoster,
  PeerStage,
  RelayChooser,
  type PeerBeat,
  type RelayChoice,
} from '@parsleywood/membership';
import type {SiteSnapshot} from '@parsleywood/forwarding';
import {
  HostStage,
  type FleetMessage,
  type HostBeat,
  type HostDigest,
  type HostSighting,
} from '@parsleywood/schema/fleet';
import type {Delivery} from '@parsleywood/schema/peer';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import {TimelineEventName} from '@parsleywood/timeline';
import type {Clock} from '../host/clock.js';
import type {EventLog} from '../host/event_log.js';
import type {HostTimeline} from '../host/host_timeline.js';
import type {PeerTransport} from '../peers/peer_transport.js';
import type {NewsRelay} from './update_relay.js';
import type {NewsTaker} from './update_applier.js';
import type {SiteKeeper} from './site_updater.js';

/** Interval of signs of life where hosts tell each other directly. */
const BEAT_MS = 300;
/** Every how many intervals a host beats to its relays, and a relay tells all. */
const RELAY_BEATS = 2;
/** Every how many intervals known addresses are told, and seeds asked anew. */
const INTRODUCTION_BEATS = 4;
/** Time between two attempts to reach a host anew. */
const RESET_MS = 1_500;
/** Time that a host waits for the store before it asks a peer that is ahead. */
const QUERY_AFTER_MS = 400;

const STAGES: Readonly<Record<PeerStage, HostStage>> = {
  [PeerStage.STARTING]: HostStage.HOST_STAGE_STARTING,
  [PeerStage.READY]: HostStage.HOST_STAGE_READY,
  [PeerStage.STOPPING]: HostStage.HOST_STAGE_STOPPING,
};

/** Knows the other hosts of the site, and exchanges published state with them. */
export class FleetLink {
  private readonly roster: PeerRoster;
  private readonly chooser: RelayChooser;
  private readonly resetAtMs = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private beats = 0;
  private alive: PeerBeat[] = [];
  /** Absent where each host tells all others directly. */
  private choice: RelayChoice | undefined;
  private aheadSinceMs = Infinity;

  /**
   * @param draw Draws a number between 0 and 1.
   * @param readStage What this host says of its own readiness.
   */
  constructor(
    private readonly settings: GatewaySettings,
    private readonly transport: PeerTransport,
    private readonly relay: NewsRelay,
    private readonly taker: NewsTaker,
    private readonly keeper: SiteKeeper,
    private readonly snapshot: () => SiteSnapshot,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly timeline: HostTimeline,
    draw: () => number,
    private readonly readStage: () => PeerStage,
  ) {
    this.roster = new PeerRoster(settings.peersAddress, settings.seedPeers);
    this.chooser = new RelayChooser(draw);
  }

  start(): void {
    this.timer = setInterval(() => {
      this.sendBeats();
    }, BEAT_MS);
    this.sendBeats();
  }

  stop(): void {
    clearInterval(this.timer);
    this.relay.stop();
  }

  /** Number of hosts alive, this one included. */
  countHosts(): number {
    return this.alive.length + 1;
  }

  /** IP:port for peers of the other hosts that are heard. */
  listPeers(): string[] {
    return this.alive.map(({peersAddress}) => peersAddress);
  }

  /** IP:port for callers of the other hosts that are ready. */
  listReady(): string[] {
    return this.roster
      .alive(this.clock.nowMs())
      .filter(({stage}) => stage === PeerStage.READY)
      .map(({callersAddress}) => callersAddress);
  }

  /** Takes the addresses that are asked for others from now on. */
  setSeeds(seeds: readonly string[]): void {
    this.roster.setSeeds(seeds);
  }

  /** Tells this host's stage to those who should know it now. */
  sendBeats(): void {
    const nowMs = this.clock.nowMs();
    const beat = this.beats++;
    this.refreshAlive(nowMs);
    if (this.choice === undefined) this.beatToAll(beat, nowMs);
    else this.beatToRelays(this.choice, beat, nowMs);
    if (beat % RELAY_BEATS === 0) this.sendDigests(nowMs);
    this.askPeers(nowMs);
  }

  takeDelivery({from, fromIncarnation, messages}: Delivery): void {
    for (const {body} of messages) {
      if (body?.$case !== 'fleet') continue;
      this.take(from, fromIncarnation, body.value);
    }
  }

  private beatToAll(beat: number, nowMs: number): void {
    const introduces = beat % INTRODUCTION_BEATS === 0;
    const known = introduces ? this.listPeers() : [];
    for (const address of this.roster.targets(nowMs)) {
      this.beatTo(address, known, nowMs);
    }
  }

  /** Seeds hear all hosts now and then, so that no part of a site stays alone. */
  private beatToRelays(
    {relays}: RelayChoice,
    beat: number,
    nowMs: number,
  ): void {
    const targets = new Set(beat % RELAY_BEATS === 0 ? relays : []);
    if (beat % INTRODUCTION_BEATS === 0) {
      for (const one of this.roster.correspondents(nowMs)) targets.add(one);
    }
    for (const address of targets) this.beatTo(address, [], nowMs);
  }

  private beatTo(
    address: string,
    knownAddresses: string[],
    nowMs: number,
  ): void {
    const hearsReceiver = this.roster.hears(address, nowMs);
    if (!hearsReceiver) this.reconnect(address, nowMs);
    const value = this.describeSelf(nowMs, {
      hearsReceiver,
      knownAddresses,
      subscribes: address === this.choice?.source,
    });
    this.relay.send(address, {body: {$case: 'beat', value}});
  }

  private sendDigests(nowMs: number): void {
    const subscribers = this.relay.subscribers(nowMs);
    if (subscribers.length === 0) return;
    const digest = this.describeHosts(nowMs);
    for (const address of subscribers) {
      this.relay.send(address, {body: {$case: 'digest', value: digest}});
    }
  }

  private take(host: string, incarnation: string, message: FleetMessage): void {
    const nowMs = this.clock.nowMs();
    if (this.taker.take(host, message, nowMs)) {
      this.relay.pass(host, message);
      return;
    }
    const {body} = message;
    switch (body?.$case) {
      case 'beat':
        this.takeBeat(incarnation, body.value, nowMs);
        break;
      case 'digest':
        this.takeDigest(body.value, nowMs);
        break;
      case 'relayed':
        for (const {host: teller, message: news} of body.value.news) {
          if (news !== undefined) this.taker.take(teller, news, nowMs);
        }
        break;
      case 'siteQuery':
        this.answerQuery(host, body.value.revision);
        break;
      case 'siteState':
        this.keeper.takeSnapshot(
          JSON.parse(body.value.json) as SiteSnapshot,
          host,
        );
        break;
    }
  }

  private takeBeat(incarnation: string, beat: HostBeat, nowMs: number): void {
    const {peersAddress, hearsReceiver, subscribes} = beat;
    const replaced = this.roster.take(decodeBeat(beat, incarnation), nowMs);
    if (replaced !== undefined) this.taker.dropHost(peersAddress);
    this.relay.subscribe(peersAddress, subscribes, nowMs);
    if (!hearsReceiver) this.introduceTo(peersAddress, nowMs);
    const isKnown = this.alive.some(one => one.peersAddress === peersAddress);
    if (!isKnown) this.refreshAlive(nowMs);
  }

  /** Answers a host that does not hear this one, in case it is new. */
  private introduceTo(address: string, nowMs: number): void {
    this.reconnect(address, nowMs);
    if (this.choice === undefined) return;
    this.beatTo(address, [], nowMs);
    const value = this.describeHosts(nowMs);
    this.relay.send(address, {body: {$case: 'digest', value}});
  }

  private takeDigest({sightings}: HostDigest, nowMs: number): void {
    for (const {beat, incarnation, silentMs} of sightings) {
      if (beat === undefined) continue;
      const replaced = this.roster.takeSighting(
        decodeBeat(beat, incarnation),
        nowMs - silentMs,
      );
      if (replaced !== undefined) this.taker.dropHost(beat.peersAddress);
    }
    this.refreshAlive(nowMs);
  }

  private refreshAlive(nowMs: number): void {
    const alive = this.roster.alive(nowMs);
    const before = new Set(this.listPeers());
    const after = new Set(alive.map(({peersAddress}) => peersAddress));
    for (const peer of after) if (!before.has(peer)) this.notePeer(peer, true);
    for (const peer of before) if (!after.has(peer)) this.notePeer(peer, false);
    this.alive = alive;
    this.chooseRelays(nowMs);
  }

  private chooseRelays(nowMs: number): void {
    const {source} = this.choice ?? {};
    this.choice = this.chooser.choose(
      decodeBeat(this.describeSelf(nowMs), ''),
      this.alive,
    );
    this.roster.setRelayed(this.choice !== undefined);
    this.relay.setAudience(this.choice?.relays ?? this.listPeers());
    if (this.choice?.source === source) return;
    this.log.info('relay_chosen', {
      relay: this.choice?.source,
      before: source,
      relays: this.choice?.relays.length,
      hosts: this.countHosts(),
    });
  }

  private notePeer(peer: string, isHeard: boolean): void {
    if (isHeard) this.log.info('peer_heard', {peer});
    else this.log.warn('peer_lost', {peer});
    const state = isHeard ? 'heard' : 'lost';
    this.timeline.record(TimelineEventName.MEMBER_CHANGED, '', {peer, state});
  }

  /** A host that does not hear this one may hold a connection that is dead. */
  private reconnect(address: string, nowMs: number): void {
    if (nowMs - (this.resetAtMs.get(address) ?? -Infinity) < RESET_MS) return;
    this.resetAtMs.set(address, nowMs);
    this.transport.reset(address);
  }

  /** Asks a peer that is ahead, when the store tells this host nothing. */
  private askPeers(nowMs: number): void {
    const ahead = this.alive.filter(
      ({revision}) => revision > this.keeper.revision,
    );
    const [best] = ahead.sort((left, right) => right.revision - left.revision);
    if (best === undefined) {
      this.aheadSinceMs = Infinity;
      return;
    }
    this.aheadSinceMs = Math.min(this.aheadSinceMs, nowMs);
    if (nowMs - this.aheadSinceMs < QUERY_AFTER_MS) return;
    const {revision} = this.keeper;
    this.relay.send(best.peersAddress, {
      body: {$case: 'siteQuery', value: {revision}},
    });
  }

  private answerQuery(host: string, revision: number): void {
    const snapshot = this.snapshot();
    if (snapshot.revision <= revision) return;
    const json = JSON.stringify(snapshot);
    // Hosts name themselves by their address for peers.
    this.relay.send(host, {
      body: {$case: 'siteState', value: {revision: snapshot.revision, json}},
    });
  }

  private describeSelf(
    nowMs: number,
    changes: Partial<HostBeat> = {},
  ): HostBeat {
    const {peersAddress, callersAddress, failureDomain} = this.settings;
    return {
      peersAddress,
      callersAddress,
      failureDomain,
      stage: STAGES[this.readStage()],
      revision: this.keeper.revision,
      hearsReceiver: false,
      knownAddresses: [],
      processorShare: this.settings.processorShare ?? 1,
      subscribes: false,
      relays: this.relay.subscribers(nowMs).length > 0,
      ...changes,
    };
  }

  private describeHosts(nowMs: number): HostDigest {
    const sightings = this.roster.sightings(nowMs);
    return {
      sightings: sightings.map(({beat, heardAtMs}): HostSighting => {
        const {incarnation, stage, ...fields} = beat;
        return {
          beat: {...fields, stage: STAGES[stage], knownAddresses: []},
          incarnation,
          silentMs: Math.round(nowMs - heardAtMs),
        };
      }),
    };
  }
}

function decodeBeat(beat: HostBeat, incarnation: string): PeerBeat {
  return {...beat, incarnation, stage: readStage(beat.stage)};
}

function readStage(stage: HostStage): PeerStage {
  if (stage === HostStage.HOST_STAGE_READY) return PeerStage.READY;
  if (stage === HostStage.HOST_STAGE_STOPPING) return PeerStage.STOPPING;
  return PeerStage.STARTING;
}
