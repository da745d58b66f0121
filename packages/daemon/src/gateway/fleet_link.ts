import {PeerRoster, PeerStage, type PeerBeat} from '@parsleywood/membership';
import type {
  Placement,
  PlacementBook,
  UpstreamHealth,
} from '@parsleywood/dispatch';
import type {SuspectNews} from '@parsleywood/requests';
import {TimelineEventName} from '@parsleywood/timeline';
import type {SiteSnapshot} from '@parsleywood/forwarding';
import {
  HostStage,
  type FleetMessage,
  type HostBeat,
} from '@parsleywood/schema/fleet';
import type {Delivery} from '@parsleywood/schema/peer';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {Clock} from '../host/clock.js';
import type {EventLog} from '../host/event_log.js';
import type {HostTimeline} from '../host/host_timeline.js';
import type {PeerTransport} from '../peers/peer_transport.js';
import type {SuspectDesk} from '../upstreams/suspect_desk.js';
import type {FleetNews} from './fleet_news.js';
import type {SiteKeeper} from './site_keeper.js';

/** Interval of signs of life. */
const BEAT_MS = 300;
/** Every how many beats the addresses of other hosts are told. */
const BEATS_PER_INTRODUCTION = 4;
/** Time between two attempts to reach a host anew. */
const RESET_MS = 1_500;
/** Time that a host waits for the store before it asks a peer that is ahead. */
const QUERY_AFTER_MS = 400;

const STAGES: Readonly<Record<PeerStage, HostStage>> = {
  [PeerStage.STARTING]: HostStage.HOST_STAGE_STARTING,
  [PeerStage.READY]: HostStage.HOST_STAGE_READY,
  [PeerStage.STOPPING]: HostStage.HOST_STAGE_STOPPING,
};

/** Exchanges signs of life, placements and published state with other hosts. */
export class FleetLink implements FleetNews {
  private readonly roster: PeerRoster;
  private readonly resetAtMs = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private beats = 0;
  private alive: PeerBeat[] = [];
  private aheadSinceMs = Infinity;

  /** @param readStage What this host says of its own readiness. */
  constructor(
    private readonly settings: GatewaySettings,
    private readonly transport: PeerTransport,
    private readonly keeper: SiteKeeper,
    private readonly snapshot: () => SiteSnapshot,
    private readonly book: PlacementBook,
    private readonly health: UpstreamHealth,
    private readonly suspects: SuspectDesk,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly timeline: HostTimeline,
    private readonly readStage: () => PeerStage,
  ) {
    this.roster = new PeerRoster(settings.peersAddress, settings.seedPeers);
  }

  start(): void {
    this.timer = setInterval(() => {
      this.sendBeats();
    }, BEAT_MS);
    this.sendBeats();
  }

  stop(): void {
    clearInterval(this.timer);
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

  tellStart(placement: Placement): void {
    const parts = placement.parts.map(part => ({...part}));
    const answerTokens = Math.round(placement.answerTokens);
    this.tell({
      body: {
        $case: 'placementStart',
        value: {...placement, answerTokens, parts},
      },
    });
  }

  tellWriting(id: string): void {
    this.tell({body: {$case: 'placementWriting', value: id}});
  }

  tellEnd(id: string): void {
    this.tell({body: {$case: 'placementEnd', value: id}});
  }

  tellFailure(upstream: string, silent: boolean): void {
    this.tell({body: {$case: 'upstreamFailure', value: {upstream, silent}}});
  }

  tellSuspect(news: SuspectNews): void {
    for (const {peersAddress} of this.alive) {
      this.transport.send(
        peersAddress,
        {body: {$case: 'suspect', value: news}},
        peersAddress,
      );
    }
  }

  /** Takes the addresses that are asked for others from now on. */
  setSeeds(seeds: readonly string[]): void {
    this.roster.setSeeds(seeds);
  }

  /** Tells a changed stage at once. */
  sendBeats(): void {
    const nowMs = this.clock.nowMs();
    const introduces = this.beats++ % BEATS_PER_INTRODUCTION === 0;
    const known = introduces
      ? this.alive.map(({peersAddress}) => peersAddress)
      : [];
    for (const address of this.roster.targets(nowMs)) {
      const hears = this.roster.hears(address, nowMs);
      if (!hears) this.reconnect(address, nowMs);
      this.send(address, {
        body: {$case: 'beat', value: this.describeSelf(hears, known)},
      });
    }
    this.refreshAlive(nowMs);
    this.askPeers(nowMs);
  }

  takeDelivery(delivery: Delivery): void {
    for (const {body} of delivery.messages) {
      if (body?.$case === 'fleet') {
        this.take(delivery.from, delivery.fromIncarnation, body.value);
      } else if (body?.$case === 'suspect') {
        const {fingerprint, bodyBytes, verdict} = body.value;
        this.suspects.takeNews(fingerprint, bodyBytes, verdict);
      }
    }
  }

  private take(host: string, incarnation: string, {body}: FleetMessage): void {
    const nowMs = this.clock.nowMs();
    switch (body?.$case) {
      case 'beat':
        this.takeBeat(host, incarnation, body.value, nowMs);
        break;
      case 'placementStart':
        this.book.add({...body.value, host}, nowMs);
        break;
      case 'placementWriting':
        this.book.startWriting(body.value, nowMs);
        break;
      case 'placementEnd':
        this.book.end(body.value);
        break;
      case 'upstreamFailure':
        this.health.takeFailure(body.value.upstream, body.value.silent, nowMs);
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

  private takeBeat(
    host: string,
    incarnation: string,
    beat: HostBeat,
    nowMs: number,
  ): void {
    const address = beat.peersAddress;
    const replaced = this.roster.take(
      {...beat, incarnation, stage: readStage(beat.stage)},
      nowMs,
    );
    if (replaced !== undefined) this.book.dropHost(host);
    if (!beat.hearsReceiver) this.reconnect(address, nowMs);
    this.refreshAlive(nowMs);
  }

  private refreshAlive(nowMs: number): void {
    const alive = this.roster.alive(nowMs);
    const before = new Set(this.alive.map(({peersAddress}) => peersAddress));
    const after = new Set(alive.map(({peersAddress}) => peersAddress));
    for (const {peersAddress} of alive) {
      if (!before.has(peersAddress)) {
        this.notePeer(peersAddress, true);
      }
    }
    for (const {peersAddress} of this.alive) {
      if (!after.has(peersAddress)) {
        this.notePeer(peersAddress, false);
      }
    }
    this.alive = alive;
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
    this.send(best.peersAddress, {
      body: {$case: 'siteQuery', value: {revision}},
    });
  }

  private answerQuery(host: string, revision: number): void {
    const snapshot = this.snapshot();
    if (snapshot.revision <= revision) return;
    const json = JSON.stringify(snapshot);
    // Hosts name themselves by their address for peers.
    this.send(host, {
      body: {$case: 'siteState', value: {revision: snapshot.revision, json}},
    });
  }

  private describeSelf(
    hearsReceiver: boolean,
    knownAddresses: string[],
  ): HostBeat {
    const {peersAddress, callersAddress, failureDomain} = this.settings;
    return {
      peersAddress,
      callersAddress,
      failureDomain,
      stage: STAGES[this.readStage()],
      revision: this.keeper.revision,
      hearsReceiver,
      knownAddresses,
    };
  }

  private tell(message: FleetMessage): void {
    for (const {peersAddress} of this.alive) this.send(peersAddress, message);
  }

  private send(address: string, message: FleetMessage): void {
    this.transport.send(
      address,
      {body: {$case: 'fleet', value: message}},
      address,
    );
  }
}

function readStage(stage: HostStage): PeerStage {
  if (stage === HostStage.HOST_STAGE_READY) return PeerStage.READY;
  if (stage === HostStage.HOST_STAGE_STOPPING) return PeerStage.STOPPING;
  return PeerStage.STARTING;
}
