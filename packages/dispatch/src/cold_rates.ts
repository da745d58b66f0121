import type {Service, UpstreamEntry} from '@parsleywood/forwarding';
import type {ColdBounds} from './cold_bounds.js';
import type {ColdChange} from './cold_change.js';
import type {ColdRate} from './cold_rate.js';
import {ColdSource} from './cold_source.js';
import {ColdUpstream} from './cold_upstream.js';
import {ColdUse} from './cold_use.js';
import type {HeardHost} from './heard_host.js';
import {planColdRate} from './plan_cold_rate.js';
import {RateSharers} from './rate_sharers.js';
import {ReturnSchedule} from './return_schedule.js';
import {Settling} from './settling.js';

const MS_PER_SECOND = 1_000;
/** Time for which a request that was counted may wait unsent. */
const MAX_UNSENT_MS = 200;
const MAX_SEEN = 8_192;

/**
 * Keeps the requests of all hosts to upstreams that are cold within the rate that these
 * tolerate, without messages between the hosts: a few hosts own each of them. Load
 * pattern: upstreams that start during traffic and crash under a rate that warm ones
 * take, before hosts that are partitioned, start, freeze and die.
 */
export class ColdRates {
  private rates = new Map<string, ColdRate>();
  private readonly upstreams = new Map<string, ColdUpstream>();
  /** Latest start of each upstream that was ever listed; 0 when it is not known. */
  private readonly seenBornMs = new Map<string, number>();
  private readonly sharers: RateSharers;
  private readonly settling: Settling;
  private readonly returns = new ReturnSchedule();
  private hasList = false;

  /**
   * @param self IP:port of this host for peers.
   * @param seeds Those of other hosts that are known at the start.
   */
  constructor(
    self: string,
    seeds: readonly string[],
    private readonly bounds: ColdBounds,
    startedAtMs: number,
  ) {
    this.sharers = new RateSharers(self, seeds, startedAtMs);
    this.settling = new Settling(self, startedAtMs);
  }

  /** Whether any service has upstreams that can be cold. */
  get isOn(): boolean {
    return this.rates.size > 0;
  }

  /** Applies the services; those without a cold start have no cold upstreams. */
  setServices(services: readonly Service[], nowMs: number): void {
    this.rates = new Map(
      services.flatMap(({name, coldStart}) =>
        coldStart ? [[name, planColdRate(coldStart, this.bounds)]] : [],
      ),
    );
    this.hasList &&= this.isOn;
    for (const {id, service} of this.upstreams.values()) {
      if (!this.rates.has(service)) this.upstreams.delete(id);
    }
    if (!this.isOn) this.seenBornMs.clear();
    this.assignAll(nowMs);
  }

  /**
   * Applies the list of upstreams.
   *
   * @param entries All listed upstreams, with the cold time that each has now.
   */
  update(entries: readonly UpstreamEntry[], nowMs: number): void {
    if (!this.isOn) return;
    for (const entry of entries) this.updateOne(entry, nowMs);
    this.hasList = true;
  }

  /** Lists the upstreams that became cold or warm since the last call. */
  listChanges(nowMs: number): ColdChange[] {
    const changes: ColdChange[] = [];
    for (const upstream of this.upstreams.values()) {
      const change = upstream.readChange(nowMs);
      if (change !== undefined) changes.push(change);
    }
    return changes;
  }

  /** Applies the hosts that are heard now; that of this host's own address tells its stage. */
  setHosts(hosts: readonly HeardHost[], nowMs: number): void {
    const {hasChanged, hasNewHosts} = this.sharers.update(hosts, nowMs);
    this.settling.recordHosts(hosts, hasNewHosts, nowMs);
    if (hasChanged) this.assignAll(nowMs);
  }

  /**
   * Records that this host did not run for a while.
   *
   * @param heldMs Time for which it was held up.
   */
  recordHold(heldMs: number, nowMs: number): void {
    this.settling.recordHold(heldMs, nowMs);
  }

  /** Whether this host may send a request to an upstream now. */
  mayTake(id: string, nowMs: number): boolean {
    const upstream = this.upstreams.get(id);
    if (upstream === undefined) return true;
    if (nowMs < this.settling.doubtUntilMs) return false;
    if (upstream.untilMs <= nowMs) return true;
    return this.getOwnWaitMs(upstream, nowMs) <= 0;
  }

  /** Counts a request that is sent to an upstream, if that is cold. */
  recordSend(id: string, nowMs: number): void {
    const upstream = this.upstreams.get(id);
    if (upstream === undefined || upstream.untilMs <= nowMs) return;
    upstream.take(nowMs);
  }

  /**
   * Whether a request that was counted some time ago may be sent now. One that waited
   * for long is counted again.
   */
  confirmSend(id: string, countedAtMs: number, nowMs: number): boolean {
    const upstream = this.upstreams.get(id);
    if (upstream === undefined) return true;
    const wasCounted = upstream.wasColdAt(countedAtMs);
    if (wasCounted && nowMs - countedAtMs <= MAX_UNSENT_MS) return true;
    if (!this.mayTake(id, nowMs)) return false;
    this.recordSend(id, nowMs);
    return true;
  }

  /** What this host may send to an upstream; undefined while it is not cold. */
  getUse(id: string, nowMs: number): ColdUse | undefined {
    const upstream = this.upstreams.get(id);
    if (upstream === undefined) return undefined;
    if (nowMs < this.settling.doubtUntilMs) return ColdUse.SETTLING;
    if (upstream.untilMs <= nowMs) return undefined;
    if (this.getSettledMs(nowMs) > nowMs) return ColdUse.SETTLING;
    return upstream.ownRate > 0 ? ColdUse.OWNED : ColdUse.LEFT_TO_OTHERS;
  }

  /** Rate of this host's part of an upstream; 0 if it owns none or that is not cold. */
  getOwnRate(id: string, nowMs: number): number {
    const upstream = this.upstreams.get(id);
    const isCold = upstream !== undefined && upstream.untilMs > nowMs;
    return isCold ? upstream.ownRate : 0;
  }

  /**
   * Returns the time after which a request that found only cold upstreams may come
   * again, to any host, in milliseconds; 0 if one of them may be sent to. Requests
   * that are refused one after the other come again at the rates of the upstreams.
   */
  planReturnMs(ids: readonly string[], nowMs: number): number {
    const free = this.findReturn(ids, nowMs);
    if (free === undefined) return 0;
    return this.returns.plan(free.firstMs, free.stepMs, nowMs, free.warmMs);
  }

  /** Returns the same, and leaves the turn to the next request. */
  previewReturnMs(ids: readonly string[], nowMs: number): number {
    const free = this.findReturn(ids, nowMs);
    if (free === undefined) return 0;
    return this.returns.preview(free.firstMs, nowMs, free.warmMs);
  }

  /** Drops upstreams that are not listed, once warm; that they were is remembered. */
  retain(ids: ReadonlySet<string>, nowMs: number): void {
    for (const {id, untilMs} of this.upstreams.values()) {
      if (!ids.has(id) && untilMs <= nowMs) this.upstreams.delete(id);
    }
    for (const id of this.seenBornMs.keys()) {
      if (this.seenBornMs.size <= MAX_SEEN) break;
      if (!ids.has(id)) this.seenBornMs.delete(id);
    }
  }

  /** Times of `ReturnSchedule`; undefined if an upstream may be sent to now. */
  private findReturn(
    ids: readonly string[],
    nowMs: number,
  ): {firstMs: number; stepMs: number; warmMs: number} | undefined {
    const barred = ids.flatMap(id => this.upstreams.get(id) ?? []);
    if (barred.length === 0 || ids.some(id => this.mayTake(id, nowMs))) {
      return undefined;
    }
    const rate = barred.reduce(
      (sum, {service}) => sum + (this.rates.get(service)?.perSecond ?? 0),
      0,
    );
    const stepMs = (this.sharers.size / rate) * MS_PER_SECOND;
    const freeMs = barred.map(one => this.getFreeMs(one, stepMs, nowMs));
    const firstMs = Math.max(
      Math.min(...freeMs),
      this.settling.doubtUntilMs - nowMs,
    );
    const warmMs = Math.min(...barred.map(({untilMs}) => untilMs)) - nowMs;
    return {firstMs, stepMs, warmMs};
  }

  private updateOne(entry: UpstreamEntry, nowMs: number): void {
    const {id, service, bornMs = 0, coldRemainingMs} = entry;
    const seenMs = this.seenBornMs.get(id);
    this.seenBornMs.set(id, Math.max(seenMs ?? 0, bornMs));
    const rate = this.rates.get(service);
    if (rate === undefined) return;
    const upstream = this.upstreams.get(id) ?? new ColdUpstream(id, service);
    this.upstreams.set(id, upstream);
    const wasCold = upstream.untilMs > nowMs;
    const startedUntilMs = nowMs + rate.durationMs;
    // What an upstream says of itself counts, also that it is warm: after an outage of
    // the store the entries of warm ones are listed anew.
    if (coldRemainingMs !== undefined) {
      upstream.recordStated(nowMs + coldRemainingMs);
    } else if (seenMs === undefined) {
      if (this.hasList) upstream.recordStart(startedUntilMs, ColdSource.LISTED);
    } else if (seenMs > 0 && bornMs > seenMs) {
      upstream.recordStart(startedUntilMs, ColdSource.RESTARTED);
    }
    if (wasCold || upstream.untilMs <= nowMs) return;
    upstream.begin(nowMs);
    this.assign(upstream, nowMs);
  }

  private assignAll(nowMs: number): void {
    for (const upstream of this.upstreams.values()) {
      if (upstream.untilMs > nowMs) this.assign(upstream, nowMs);
    }
  }

  private assign(upstream: ColdUpstream, nowMs: number): void {
    const {sharers} = this;
    const rate = this.rates.get(upstream.service);
    if (rate === undefined) return;
    const owners = sharers.countOwners(rate.owners);
    const isOwner = sharers.isOwner(upstream.hash, owners);
    const perSecond = (rate.perSecond * sharers.share) / owners;
    upstream.assign(isOwner ? perSecond : 0, nowMs);
  }

  private getOwnWaitMs(upstream: ColdUpstream, nowMs: number): number {
    const ownMs = upstream.getWaitMs(nowMs);
    if (ownMs === Infinity) return ownMs;
    return Math.max(ownMs, this.getSettledMs(nowMs) - nowMs);
  }

  /** Time until some host may use the upstream, as far as this one knows. */
  private getFreeMs(
    upstream: ColdUpstream,
    stepMs: number,
    nowMs: number,
  ): number {
    const ownMs = this.getOwnWaitMs(upstream, nowMs);
    const otherMs = ownMs === Infinity ? stepMs : ownMs;
    return Math.max(0, Math.min(upstream.untilMs - nowMs, otherMs));
  }

  private getSettledMs(nowMs: number): number {
    return this.settling.getEndMs(this.sharers.isAlone, nowMs);
  }
}
