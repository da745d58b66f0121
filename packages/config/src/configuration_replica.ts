import type {
  ConfigurationMessage,
  PublishedValue,
  PublishedValues,
  RevisionDigest,
} from '@parsleywood/schema/configuration';
import type {Decision} from '@parsleywood/types';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {ConfigurationAction} from './configuration_action.js';
import type {ConfigurationEvent} from './configuration_event.js';
import {ConfigurationEventKind} from './configuration_event_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import {createValueGroups} from './create_value_groups.js';
import {drawBelow} from './draw_below.js';
import {LocalValues} from './local_values.js';
import type {Member} from './member.js';
import {MemberView} from './member_view.js';
import {PeerExchange} from './peer_exchange.js';
import {createSendActions} from './create_send_actions.js';
import {ServiceSchedule} from './service_schedule.js';
import {StartGate} from './start_gate.js';
import type {ValueGroup} from './value_group.js';

/** Each host sends a digest to a few peers at this interval. */
const GOSSIP_INTERVAL_MS = 1_000;
/** Largest random addition to the gossip interval. */
const GOSSIP_JITTER_MS = 400;
/** Most peers that a starting host asks for their revisions. */
const START_PEERS_MAX = 8;

/**
 * Keeps one host on the latest valid configuration of its site. It watches the
 * configuration service, exchanges revisions with peers by gossip, and
 * activates values that pass their checks.
 */
export class ConfigurationReplica implements Decision<
  ConfigurationEvent,
  ConfigurationAction
> {
  private readonly groups: readonly ValueGroup[];
  private readonly local: LocalValues;
  private readonly exchange: PeerExchange;
  private readonly service: ServiceSchedule;
  private readonly view: MemberView;
  private readonly gate = new StartGate();
  private readonly peerValues: PublishedValue[][] = [];
  private nextGossipMs = Infinity;

  /**
   * @param site Name of the site whose overlay and lists this host follows.
   * @param self This host.
   * @param random Source of all random choices and jitter.
   */
  constructor(
    site: string,
    self: Member,
    private readonly random: RandomGenerator,
  ) {
    this.groups = createValueGroups(site);
    this.local = new LocalValues(this.groups);
    this.exchange = new PeerExchange(this.groups, this.local);
    const keys = this.groups.flatMap(group => group.keys);
    this.service = new ServiceSchedule(keys, `hosts/${site}`, random);
    this.view = new MemberView(self, random);
  }

  handle(event: ConfigurationEvent, nowMs: number): ConfigurationAction[] {
    if (!this.gate.hasStarted()) this.start(nowMs);
    return [...this.handleEvent(event, nowMs), ...this.runDueWork(nowMs)];
  }

  wakeAtMs(): number {
    if (!this.gate.hasStarted()) return 0;
    return Math.min(
      this.nextGossipMs,
      this.gate.wakeAtMs(),
      this.service.wakeAtMs(this.gate.isOpen(), this.gate.countAsked() > 0),
    );
  }

  /**
   * Milliseconds since the service confirmed the key whose last confirmation is
   * oldest; Infinity while a key has never been confirmed.
   */
  confirmedAgeMs(nowMs: number): number {
    return Math.max(...this.service.confirmedAgesMs(nowMs).values());
  }

  /** Current problems with the published values or the service. */
  problems(): ConfigurationProblem[] {
    return [...this.local.problems(), ...this.service.problems()];
  }

  private start(nowMs: number): void {
    this.gate.start(nowMs);
    this.service.start(nowMs);
    this.nextGossipMs = nowMs + drawBelow(this.random, GOSSIP_INTERVAL_MS);
  }

  private handleEvent(
    event: ConfigurationEvent,
    nowMs: number,
  ): ConfigurationAction[] {
    switch (event.kind) {
      case ConfigurationEventKind.VALUE:
        return this.handleServiceValue(
          event.key,
          event.revision,
          event.value,
          nowMs,
        );
      case ConfigurationEventKind.UNCHANGED:
        return this.handleServiceRevision(event.key, event.revision, nowMs);
      case ConfigurationEventKind.READ_FAILED:
        this.service.recordFailure(event.key, nowMs);
        return [];
      case ConfigurationEventKind.MESSAGE:
        return this.handleMessage(event.from, event.message, nowMs);
      case ConfigurationEventKind.MEMBERS:
        this.view.update(event.members);
        if (this.gate.isOpen()) this.setWatchers(nowMs);
        return this.gate.isOpen() ? [] : this.askPeers(nowMs);
      case ConfigurationEventKind.WAKE:
        return [];
    }
  }

  private handleServiceValue(
    key: string,
    revision: number,
    text: string,
    nowMs: number,
  ): ConfigurationAction[] {
    if (!this.service.follows(key)) return [];
    const isNew = this.local.storeIfNewer({key, revision, text});
    const peers = isNew ? this.view.pickPeersForServiceUpdate() : [];
    return [
      ...this.handleServiceRevision(key, revision, nowMs),
      ...this.sendDigest(peers, nowMs),
    ];
  }

  private handleServiceRevision(
    key: string,
    revision: number,
    nowMs: number,
  ): ConfigurationAction[] {
    const latest = this.local.latestRevision(key);
    return this.service.recordAnswer(key, revision, latest, nowMs);
  }

  private handleMessage(
    from: string,
    message: ConfigurationMessage,
    nowMs: number,
  ): ConfigurationAction[] {
    const {body} = message;
    switch (body?.$case) {
      case 'digest':
        return this.handleDigest(from, body.value, nowMs);
      case 'request':
        return this.exchange
          .answerRequest(body.value)
          .flatMap(answer => createSendActions([from], answer));
      case 'values':
        return this.handlePeerValues(body.value, nowMs);
      default:
        return [];
    }
  }

  private handleDigest(
    from: string,
    digest: RevisionDigest,
    nowMs: number,
  ): ConfigurationAction[] {
    if (!digest.starting) this.gate.recordAnswer(from);
    this.service.recordPeerConfirmations(
      digest,
      key => this.local.latestRevision(key),
      nowMs,
    );
    const request = this.exchange.createRequest(digest, nowMs);
    const shouldAnswer =
      digest.answerWanted &&
      (digest.starting || this.exchange.holdsNewer(digest));
    return [
      ...(request ? createSendActions([from], request) : []),
      ...(shouldAnswer ? this.sendDigest([from], nowMs, false) : []),
    ];
  }

  private handlePeerValues(
    answer: PublishedValues,
    nowMs: number,
  ): ConfigurationAction[] {
    const values = this.exchange.acceptAnswer(answer);
    if (answer.inForce) {
      this.peerValues.push(values);
      return [];
    }
    const newValues = values.filter(value => this.local.storeIfNewer(value));
    if (newValues.length === 0) return [];
    return this.sendDigest(this.view.pickPeersForPeerUpdate(), nowMs);
  }

  /** Runs the work that is due: start, activation, gossip, service calls. */
  private runDueWork(nowMs: number): ConfigurationAction[] {
    const hasPendingValues = this.exchange.hasPendingRequests(nowMs);
    if (this.gate.tryOpen(nowMs, hasPendingValues)) this.setWatchers(nowMs);
    return [
      ...this.activateValues(),
      ...this.gossip(nowMs),
      ...this.service.startDueCalls(
        this.gate.isOpen(),
        this.gate.countAsked() > 0,
        key => this.local.latestRevision(key),
        nowMs,
      ),
    ];
  }

  /**
   * Activates the newest valid values. A starting host activates only the
   * groups that it needs to find its peers.
   */
  private activateValues(): ConfigurationAction[] {
    const isOpen = this.gate.isOpen();
    const groups = this.groups.filter(group => isOpen || group.isNeededAtStart);
    const actions = groups.flatMap(group => this.local.activateLatest(group));
    if (!isOpen) return actions;
    const received = this.peerValues.splice(0);
    return [
      ...actions,
      ...received.flatMap(values => this.local.activateFromPeer(values)),
    ];
  }

  private setWatchers(nowMs: number): void {
    this.service.setWatchers(key => this.view.isWatcher(key), nowMs);
  }

  private askPeers(nowMs: number): ConfigurationAction[] {
    const peers = this.view
      .pickPeers(START_PEERS_MAX)
      .filter(host => !this.gate.wasAsked(host))
      .slice(0, START_PEERS_MAX - this.gate.countAsked());
    for (const host of peers) this.gate.recordRequest(host, nowMs);
    return this.sendDigest(peers, nowMs);
  }

  private gossip(nowMs: number): ConfigurationAction[] {
    if (nowMs < this.nextGossipMs) return [];
    this.nextGossipMs =
      nowMs + GOSSIP_INTERVAL_MS + drawBelow(this.random, GOSSIP_JITTER_MS);
    return this.sendDigest(this.view.pickGossipPeers(), nowMs);
  }

  private sendDigest(
    hosts: readonly string[],
    nowMs: number,
    answerWanted = true,
  ): ConfigurationAction[] {
    const message = this.exchange.createDigest(
      this.service.confirmedAgesMs(nowMs),
      answerWanted,
      !this.gate.isOpen(),
    );
    return createSendActions(hosts, message);
  }
}
