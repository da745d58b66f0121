import {createUpstream} from '@parsleywood/forwarding/testing';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {ColdRates} from '../cold_rates.js';
import type {ColdHistory} from './cold_history.js';

const RUN_MS = 50_000;
const STEP_MS = 50;
const BEAT_MS = 900;
const HEARD_MS = 4_200;
/** Time after which a change of an entry is known to each host that runs. */
const NEWS_MS = 1_000;
/** The same for hosts that froze meanwhile, for up to 1 s, and read it 300 ms later. */
const COUNTED_FROM_MS = NEWS_MS + 1_300;
const HOLD_MS = 500;
/** Time in which a host that starts hears of the others. */
const DISCOVERY_MS = 1_000;
/** Most of the hosts that restart at once while the site is partitioned. */
const MAX_CUT_OFF_SHARE = 0.3;
const SEEDS = 3;
const COLD_START_MS = 4_000;

type VirtualRates = Pick<
  ColdRates,
  | 'setServices'
  | 'update'
  | 'setHosts'
  | 'recordHold'
  | 'mayTake'
  | 'recordSend'
>;

interface Upstream {
  readonly id: string;
  readonly writtenAtMs: number;
  readonly remainingMs: number;
}

interface Host {
  readonly address: string;
  rates: VirtualRates;
  startedAtMs: number;
  loadsAtMs: number;
  downUntilMs: number;
  stopsAtMs: number;
  frozenFromMs: number;
  frozenUntilMs: number;
  side: number;
  lastBeatMs: number;
  knownHosts: number;
  /** By position: what this host has read, and until when that says it is cold. */
  read: {entry: Upstream; untilMs: number}[];
  /** When it reads what has been written since. */
  newsAtMs: number;
}

/** Hosts before two upstreams, with a demand at each host that exceeds the cold rate. */
export class ColdFleet {
  readonly sent = new Map<string, number[]>();
  /** Spans in which an upstream is cold and each host can know it. */
  private readonly spans: {id: string; fromMs: number; untilMs: number}[] = [];
  private readonly hosts: Host[] = [];
  private readonly draw: () => number;
  private listed: Upstream[] = [];
  private nowMs = 0;

  constructor(
    private readonly history: ColdHistory,
    private readonly createRates: (
      address: string,
      seeds: string[],
      nowMs: number,
    ) => VirtualRates,
  ) {
    const generator = xoroshiro128plus(history.seed);
    this.draw = () => uniformFloat64(generator);
    this.listed = [0, 1].map(at => this.write(`u${at}`, 0));
    for (let at = 0; at < history.hosts; at++) this.addHost();
  }

  /** Runs the history, and returns the most requests of a second to a cold upstream. */
  run(): number {
    const {faults, colds} = this.history;
    for (; this.nowMs < RUN_MS; this.nowMs += STEP_MS) {
      const isDue = ({atMs}: {atMs: number}): boolean =>
        atMs >= this.nowMs && atMs < this.nowMs + STEP_MS;
      for (const cold of colds.filter(isDue)) this.makeCold(cold);
      for (const fault of faults.filter(isDue)) this.strike(fault);
      for (const {kind, atMs, forMs} of faults) {
        if (kind !== 'partition' || !isDue({atMs: atMs + forMs})) continue;
        for (const host of this.hosts) host.side = 0;
      }
      for (const host of this.hosts) this.step(host);
    }
    return Math.max(0, ...this.spans.map(span => this.countMost(span)));
  }

  private makeCold({
    isNew,
    upstream,
    forMs,
  }: ColdHistory['colds'][number]): void {
    const {id = ''} = this.listed[upstream] ?? {};
    const entry = this.write(isNew ? `${id}+` : id, forMs);
    this.listed = this.listed.map((one, at) => (at === upstream ? entry : one));
    const fromMs = this.nowMs + (isNew ? 0 : COUNTED_FROM_MS);
    for (const span of this.spans) {
      // The newest entry tells for how long it is cold.
      if (span.id === entry.id) {
        span.untilMs = Math.min(span.untilMs, this.nowMs);
      }
    }
    this.spans.push({id: entry.id, fromMs, untilMs: this.nowMs + forMs});
    for (const host of this.hosts) {
      // A side of a partition may learn of a new upstream late.
      const delayMs = isNew && host.side > 0 ? 5 * NEWS_MS : NEWS_MS;
      const newsAtMs = this.nowMs + delayMs * this.draw();
      host.newsAtMs = Math.min(host.newsAtMs, newsAtMs);
    }
  }

  private strike({kind, forMs, share}: ColdHistory['faults'][number]): void {
    if (kind === 'join') {
      const joining = Math.ceil(share * this.history.hosts * 0.3);
      for (let at = 0; at < joining; at++) {
        this.addHost().startedAtMs = this.nowMs;
      }
      return;
    }
    const isCutOff = this.hosts.some(({side}) => side > 0);
    const loses = kind === 'restart' || kind === 'stop';
    const part = isCutOff && loses ? Math.min(share, MAX_CUT_OFF_SHARE) : share;
    const isTogether = this.draw() < 0.5;
    for (const host of this.hosts) {
      if (this.draw() >= part || host.downUntilMs > this.nowMs) continue;
      if (kind === 'partition') host.side = 1 + Math.floor(this.draw() * 2);
      if (kind === 'freeze') {
        host.frozenFromMs = Math.min(host.frozenFromMs, this.nowMs);
        const untilMs = this.nowMs + forMs * (isTogether ? 1 : this.draw());
        host.frozenUntilMs = Math.max(host.frozenUntilMs, untilMs);
      }
      if (kind === 'stop') host.stopsAtMs = this.nowMs;
      if (kind === 'restart') host.downUntilMs = this.nowMs + forMs;
      if (kind === 'stop') host.downUntilMs = this.nowMs + 3_000 + forMs;
    }
  }

  private step(host: Host): void {
    const {nowMs} = this;
    const isStopping = nowMs - host.stopsAtMs < 3_000;
    if (nowMs < host.downUntilMs && !isStopping) {
      host.loadsAtMs = Infinity;
      return;
    }
    if (host.loadsAtMs === Infinity) this.restart(host);
    if (nowMs < host.frozenUntilMs) return;
    if (host.frozenFromMs < Infinity) {
      const heldMs = nowMs - host.frozenFromMs;
      if (heldMs > HOLD_MS) host.rates.recordHold(heldMs, nowMs);
      if (host.newsAtMs < nowMs) host.newsAtMs = nowMs + 300 * this.draw();
      host.frozenFromMs = Infinity;
    }
    if (nowMs - host.lastBeatMs >= BEAT_MS) this.exchange(host, isStopping);
    if (nowMs >= host.loadsAtMs && nowMs >= host.newsAtMs) this.readList(host);
    for (const {entry} of host.read) this.send(host, entry.id);
  }

  private send(host: Host, id: string): void {
    if (!host.rates.mayTake(id, this.nowMs)) return;
    host.rates.recordSend(id, this.nowMs);
    const sent = this.sent.get(id);
    if (sent) sent.push(this.nowMs);
    else this.sent.set(id, [this.nowMs]);
  }

  /** Reads the list; entries that were read before age by the host's clock. */
  private readList(host: Host): void {
    const {nowMs} = this;
    const isFirst = host.read.length === 0;
    host.newsAtMs = Infinity;
    host.read = this.listed.map((entry, at) => {
      const known = host.read[at];
      if (known?.entry === entry) return known;
      const fromMs = isFirst ? entry.writtenAtMs : nowMs;
      return {entry, untilMs: fromMs + entry.remainingMs};
    });
    const entries = host.read.map(({entry: {id}, untilMs}) =>
      createUpstream(id, {coldRemainingMs: Math.max(0, untilMs - nowMs)}),
    );
    host.rates.update(entries, nowMs);
  }

  private exchange(host: Host, isStopping: boolean): void {
    const {nowMs} = this;
    host.lastBeatMs = nowMs;
    const heardPart = (nowMs - host.startedAtMs) / DISCOVERY_MS;
    const heard = this.hosts.filter(
      (other, at) =>
        other === host ||
        (other.side === host.side &&
          nowMs - other.lastBeatMs < HEARD_MS &&
          ((at * 7 + host.knownHosts) % 10) / 10 < heardPart),
    );
    host.knownHosts = heard.length;
    const hosts = heard.map(other => ({
      address: other.address,
      heardAtMs: other.lastBeatMs,
      isStopping:
        other === host ? isStopping : nowMs - other.stopsAtMs < HEARD_MS,
      knownHosts: other.knownHosts,
    }));
    host.rates.setHosts(hosts, nowMs);
  }

  private addHost(): Host {
    const address = `10.0.${this.hosts.length >> 8}.${this.hosts.length & 255}:80`;
    const host: Host = {
      address,
      rates: this.startRates(address),
      startedAtMs: this.nowMs,
      loadsAtMs: this.nowMs + NEWS_MS * this.draw(),
      downUntilMs: -Infinity,
      stopsAtMs: -Infinity,
      frozenFromMs: Infinity,
      frozenUntilMs: -Infinity,
      side: 0,
      lastBeatMs: this.nowMs - BEAT_MS * this.draw(),
      knownHosts: 0,
      read: [],
      newsAtMs: -Infinity,
    };
    this.hosts.push(host);
    return host;
  }

  private restart(host: Host): void {
    host.rates = this.startRates(host.address);
    host.startedAtMs = this.nowMs;
    host.loadsAtMs = this.nowMs + NEWS_MS * this.draw();
    host.newsAtMs = -Infinity;
    host.frozenFromMs = Infinity;
    host.frozenUntilMs = -Infinity;
    host.knownHosts = 0;
    host.read = [];
  }

  private startRates(address: string): VirtualRates {
    const {nowMs} = this;
    const seeds = Array.from({length: SEEDS}, (_, at) => `10.0.0.${at}:80`);
    const rates = this.createRates(address, seeds, nowMs);
    const {perSecond: requestsPerSecond} = this.history;
    const coldStart = {durationMs: COLD_START_MS, requestsPerSecond};
    rates.setServices([{name: 's', coldStart}], nowMs);
    return rates;
  }

  private write(id: string, remainingMs: number): Upstream {
    return {id, writtenAtMs: this.nowMs, remainingMs};
  }

  private countMost({id, fromMs, untilMs}: ColdFleet['spans'][number]): number {
    const times = (this.sent.get(id) ?? []).filter(
      atMs => atMs >= fromMs && atMs < untilMs,
    );
    let most = 0;
    let first = 0;
    for (const [at, atMs] of times.entries()) {
      while (atMs - Number(times[first]) >= 1_000) first++;
      most = Math.max(most, at - first + 1);
    }
    return most;
  }
}
