import {SiteReplica, UpstreamStage} from '@parsleywood/forwarding';
import type {SiteSnapshot, UpstreamEntry} from '@parsleywood/forwarding';
import type {FleetMessage} from '@parsleywood/schema/fleet';
import {expect} from 'chai';
import fc from 'fast-check';
import type {EventLog} from '../../host/event_log.js';
import type {GatewayMetrics} from '../gateway_metrics.js';
import {SiteExchange} from './site_exchange.js';
import {SiteUpdater} from './site_updater.js';
import type {UpdateRelay} from '../fleet/update_relay.js';

const EPOCH = 0;
const HOSTS = 3;
const UPSTREAMS = 4;
/** Time between two steps, so that each gap in the deltas is asked about. */
const STEP_MS = 1_000;

interface Write {
  readonly id: string;
  readonly entry: UpstreamEntry | undefined;
}

/** A store that keeps each revision. */
class StoreModel {
  private readonly writes: Write[] = [{id: '', entry: undefined}];

  get revision(): number {
    return this.writes.length;
  }

  write(upstream: number, isRemoved: boolean): void {
    const id = `u${upstream}`;
    const entry = {
      id,
      service: 's',
      address: `10.0.0.${upstream}:1`,
      failureDomain: 'd',
      stage: UpstreamStage.READY,
      slots: 1,
      revision: this.revision + 1,
    };
    this.writes.push({id, entry: isRemoved ? undefined : entry});
  }

  list(revision = this.revision): SiteSnapshot {
    const last = new Map(
      this.writes.slice(0, revision).map(({id, entry}) => [id, entry]),
    );
    const upstreams = [...last.values()].flatMap(entry => entry ?? []);
    return {epoch: EPOCH, revision, upstreams};
  }

  /** Lets a host catch up as its watch does. */
  catchUp(updater: SiteUpdater): void {
    const {revision} = updater.position;
    const last = new Map(
      this.writes.slice(revision).map(({id, entry}) => [id, entry]),
    );
    const entries = [...last];
    updater.applyChange({
      epoch: EPOCH,
      revision: this.revision,
      updated: entries.flatMap(([, entry]) => entry ?? []),
      removed: entries.flatMap(([id, entry]) => (entry ? [] : [id])),
    });
  }
}

/** Hosts whose messages arrive at once, each a subscriber of all others. */
class FleetModel {
  readonly store = new StoreModel();
  private readonly hosts = new Map<
    string,
    {replica: SiteReplica; updater: SiteUpdater; exchange: SiteExchange}
  >();
  /** Hosts that get no messages. */
  private readonly cutOff = new Set<string>();
  private nowMs = 0;

  constructor() {
    for (let at = 0; at < HOSTS; at++) this.start(at);
  }

  start(at: number): void {
    const name = `h${at}`;
    const clock = {nowMs: () => this.nowMs, wallMs: () => this.nowMs};
    const log = {info: () => undefined} as unknown as EventLog;
    const replica = new SiteReplica();
    const updater = new SiteUpdater(
      replica,
      clock,
      log,
      () => undefined,
      delta => {
        exchange.publish(delta);
      },
    );
    const relay = {
      listSubscribers: () => [...this.hosts.keys()].filter(one => one !== name),
      send: (to: string, message: FleetMessage) => {
        this.deliver(name, to, message);
      },
    } as unknown as UpdateRelay;
    const exchange: SiteExchange = new SiteExchange(
      updater,
      relay,
      () => replica.createSnapshot(clock.nowMs()),
      clock,
      log,
      {siteDeltas: {inc: () => undefined}} as unknown as GatewayMetrics,
    );
    this.hosts.set(name, {replica, updater, exchange});
    updater.applySnapshot(this.store.list(), 'store');
  }

  cut(at: number): void {
    this.cutOff.add(`h${at}`);
  }

  heal(): void {
    this.cutOff.clear();
  }

  load(at: number): void {
    this.hosts.get(`h${at}`)?.updater.applySnapshot(this.store.list(), 'store');
  }

  watch(at: number): void {
    const host = this.hosts.get(`h${at}`);
    if (host !== undefined) this.store.catchUp(host.updater);
  }

  /** Lets a host ask another one for what it missed. */
  ask(at: number, to: number): void {
    const host = this.hosts.get(`h${at}`);
    if (host === undefined) return;
    const value = {...host.updater.position, version: 0};
    this.deliver(`h${at}`, `h${to}`, {body: {$case: 'siteQuery', value}});
  }

  /** Checks that each host lists what the store had at the host's position. */
  check(): void {
    this.nowMs += STEP_MS;
    for (const {replica} of this.hosts.values()) {
      const known = replica.createSnapshot(this.nowMs);
      const listed = this.store.list(known.revision).upstreams;
      const toIds = (entries: readonly UpstreamEntry[]): string[] =>
        entries.map(({id, revision = 0}) => `${id}@${revision}`).sort();
      expect(toIds(known.upstreams)).to.deep.equal(toIds(listed));
    }
  }

  private deliver(from: string, to: string, {body}: FleetMessage): void {
    const host = this.hosts.get(to);
    if (host === undefined || this.cutOff.has(from) || this.cutOff.has(to)) {
      return;
    }
    const {exchange} = host;
    if (body?.$case === 'siteDelta') {
      exchange.handleDelta(from, body.value, this.nowMs);
    } else if (body?.$case === 'siteState') {
      exchange.handleState(from, body.value);
    } else if (body?.$case === 'siteQuery') {
      exchange.answerQuery(from, body.value);
    }
  }
}

describe('SiteExchange', () => {
  // Guards against requests to servers that left while the hosts that tell it were down.
  it('tells a host that was cut off what left before the others started', () => {
    const fleet = new FleetModel();
    fleet.store.write(1, false);
    for (let at = 0; at < HOSTS; at++) fleet.load(at);
    fleet.cut(2);
    fleet.store.write(1, true);
    for (const at of [0, 1]) fleet.start(at);
    fleet.heal();
    fleet.ask(2, 0);
    fleet.check();
  });

  it('lists at each host what the store had, whatever hosts start, miss and ask', () => {
    const at = fc.integer({min: 0, max: HOSTS - 1});
    const step = fc.oneof(
      fc.record({
        kind: fc.constant('write' as const),
        at: fc.integer({min: 0, max: UPSTREAMS - 1}),
        isRemoved: fc.boolean(),
      }),
      fc.record({
        kind: fc.constantFrom('start', 'cut', 'heal', 'load', 'watch'),
        at,
      }),
      fc.record({kind: fc.constant('ask' as const), at, to: at}),
    );
    fc.assert(
      fc.property(fc.array(step, {maxLength: 30}), steps => {
        const fleet = new FleetModel();
        for (const one of steps) {
          if ('isRemoved' in one) fleet.store.write(one.at, one.isRemoved);
          else if ('to' in one) fleet.ask(one.at, one.to);
          else if (one.kind === 'start') fleet.start(one.at);
          else if (one.kind === 'cut') fleet.cut(one.at);
          else if (one.kind === 'heal') fleet.heal();
          else if (one.kind === 'load') fleet.load(one.at);
          else fleet.watch(one.at);
          fleet.check();
        }
      }),
      {seed: 1, numRuns: 2_000},
    );
  });
});
