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
import {HeldValues} from './local_values.js';
import type {Member} from './member.js';
import {MemberView} from './member_view.js';
import {PeerExchange} from './peer_exchange.js';
import {sendTo} from './create_send_actions.js';
import {ServicePlan} from './service_schedule.js';
import {StartGate} from './start_gate.js';
import type {ValueGroup} from './value_group.js';

const GOSSIP_INTERVAL_MS = 1_000;
const GOSSIP_SPREAD_MS = 400;
/** Peers asked by a starting host. */
const START_ASKS = 8;

/** Keeps the configuration of one site in force on one host. */
export class ConfigurationLedger implements Decision<
  ConfigurationEvent,
  ConfigurationAction
> {
  private readonly groups: readonly ValueGroup[];
  private readonly held: HeldValues;
  private readonly exchange: PeerExchange;
  private readonly service: ServicePlan;
  private readonly view: MemberView;
  private readonly gate = new StartGate();
  private readonly adoptable: PublishedValue[][] = [];
  private gossipMs = Infinity;

  /**
   * @param site Name of the site whose overlay and lists are followed.
   * @param self This host.
   * @param random Source of all random choices.
   */
  constructor(
    site: string,
    self: Member,
    private readonly random: RandomGenerator,
  ) {
    this.groups = createValueGroups(site);
    this.held = new HeldValues(this.groups);
    this.exchange = new PeerExchange(this.groups, this.held);
    const keys = this.groups.flatMap(group => group.keys);
    this.service = new ServicePlan(keys, `hosts/${site}`, random);
    this.view = new MemberView(self, random);
  }

  handle(event: ConfigurationEvent, nowMs: number): ConfigurationAction[] {
    if (!this.gate.hasBegun()) this.begin(nowMs);
    return [...this.take(event, nowMs), ...this.advance(nowMs)];
  }

  wakeAtMs(): number {
    if (!this.gate.hasBegun()) return 0;
    return Math.min(
      this.gossipMs,
      this.gate.wakeAtMs(),
      this.service.wakeAtMs(this.gate.isOpen(), this.gate.countAsked() > 0),
    );
  }

  /** Time since the service last confirmed every key, in milliseconds. */
  confirmedAgeMs(nowMs: number): number {
    return Math.max(...this.service.ages(nowMs).values());
  }

  /** What is wrong at present. */
  problems(): ConfigurationProblem[] {
    return [...this.held.problems(), ...this.service.problems()];
  }

  private begin(nowMs: number): void {
    this.gate.begin(nowMs);
    this.service.begin(nowMs);
    this.gossipMs = nowMs + drawBelow(this.random, GOSSIP_INTERVAL_MS);
  }

  private take(
    event: ConfigurationEvent,
    nowMs: number,
  ): ConfigurationAction[] {
    switch (event.kind) {
      case ConfigurationEventKind.VALUE:
        return this.takeValue(event.key, event.revision, event.value, nowMs);
      case ConfigurationEventKind.UNCHANGED:
        return this.takeRevision(event.key, event.revision, nowMs);
      case ConfigurationEventKind.READ_FAILED:
        this.service.fail(event.key, nowMs);
        return [];
      case ConfigurationEventKind.MESSAGE:
        return this.takeMessage(event.from, event.message, nowMs);
      case ConfigurationEventKind.MEMBERS:
        this.view.update(event.members);
        if (this.gate.isOpen()) this.setWatchers(nowMs);
        return this.gate.isOpen() ? [] : this.askPeers(nowMs);
      case ConfigurationEventKind.WAKE:
        return [];
    }
  }

  private takeValue(
    key: string,
    revision: number,
    text: string,
    nowMs: number,
  ): ConfigurationAction[] {
    if (!this.service.follows(key)) return [];
    const isNew = this.held.offer({key, revision, text});
    const told = isNew ? this.view.drawForServiceNews() : [];
    return [
      ...this.takeRevision(key, revision, nowMs),
      ...this.sendDigest(told, nowMs),
    ];
  }

  private takeRevision(
    key: string,
    revision: number,
    nowMs: number,
  ): ConfigurationAction[] {
    const held = this.held.latestRevision(key);
    return this.service.answer(key, revision, held, nowMs);
  }

  private takeMessage(
    from: string,
    message: ConfigurationMessage,
    nowMs: number,
  ): ConfigurationAction[] {
    const {body} = message;
    switch (body?.$case) {
      case 'digest':
        return this.takeDigest(from, body.value, nowMs);
      case 'request':
        return this.exchange
          .answer(body.value)
          .flatMap(answer => sendTo([from], answer));
      case 'values':
        return this.takePeerValues(body.value, nowMs);
      default:
        return [];
    }
  }

  private takeDigest(
    from: string,
    digest: RevisionDigest,
    nowMs: number,
  ): ConfigurationAction[] {
    if (!digest.starting) this.gate.answer(from);
    this.service.hear(digest, key => this.held.latestRevision(key), nowMs);
    const request = this.exchange.request(digest, nowMs);
    const isTold =
      digest.answerWanted &&
      (digest.starting || this.exchange.knowsMore(digest));
    return [
      ...(request ? sendTo([from], request) : []),
      ...(isTold ? this.sendDigest([from], nowMs, false) : []),
    ];
  }

  private takePeerValues(
    answer: PublishedValues,
    nowMs: number,
  ): ConfigurationAction[] {
    const values = this.exchange.receive(answer);
    if (answer.inForce) {
      this.adoptable.push(values);
      return [];
    }
    const news = values.filter(value => this.held.offer(value));
    if (news.length === 0) return [];
    return this.sendDigest(this.view.drawForPeerNews(), nowMs);
  }

  /** Does what has become due. */
  private advance(nowMs: number): ConfigurationAction[] {
    const waiting = this.exchange.isWaiting(nowMs);
    if (this.gate.tryOpen(nowMs, waiting)) this.setWatchers(nowMs);
    return [
      ...this.applyHeld(),
      ...this.gossip(nowMs),
      ...this.service.takeDue(
        this.gate.isOpen(),
        this.gate.countAsked() > 0,
        key => this.held.latestRevision(key),
        nowMs,
      ),
    ];
  }

  /** A starting host applies the lists that tell it of its peers alone. */
  private applyHeld(): ConfigurationAction[] {
    const open = this.gate.isOpen();
    const groups = this.groups.filter(group => open || group.servesStart);
    const applied = groups.flatMap(group => this.held.apply(group));
    if (!open) return applied;
    const adopted = this.adoptable.splice(0);
    return [...applied, ...adopted.flatMap(values => this.held.adopt(values))];
  }

  private setWatchers(nowMs: number): void {
    this.service.setWatchers(key => this.view.isWatcher(key), nowMs);
  }

  private askPeers(nowMs: number): ConfigurationAction[] {
    const peers = this.view
      .drawAny(START_ASKS)
      .filter(host => !this.gate.wasAsked(host))
      .slice(0, START_ASKS - this.gate.countAsked());
    for (const host of peers) this.gate.ask(host, nowMs);
    return this.sendDigest(peers, nowMs);
  }

  private gossip(nowMs: number): ConfigurationAction[] {
    if (nowMs < this.gossipMs) return [];
    this.gossipMs =
      nowMs + GOSSIP_INTERVAL_MS + drawBelow(this.random, GOSSIP_SPREAD_MS);
    return this.sendDigest(this.view.drawForGossip(), nowMs);
  }

  private sendDigest(
    hosts: readonly string[],
    nowMs: number,
    answerWanted = true,
  ): ConfigurationAction[] {
    const message = this.exchange.digest(
      this.service.ages(nowMs),
      answerWanted,
      !this.gate.isOpen(),
    );
    return sendTo(hosts, message);
  }
}
