import {ColdUse, type ColdRates, type HeardHost} from '@parsleywood/dispatch';
import type {SiteReplica, UpstreamEntry} from '@parsleywood/forwarding';
import {PeerStage, type PeerSighting} from '@parsleywood/membership';
import type {Clock} from '../../host/clock.js';
import type {EventLog} from '../../host/event_log.js';
import type {ColdMetrics} from './cold_metrics.js';
import {HoldDetector} from './hold_detector.js';

const TICK_MS = 100;
/** Ticks after which the hosts are read anew: one heartbeat. */
const HOST_TICKS = 3;
/** Hold after which what this host knows of the others may be old. */
const MIN_HOLD_MS = 500;

/**
 * Feeds the rates of cold upstreams with what this host knows, and asks them before
 * requests are sent. It does nothing while no service has a cold start.
 */
export class ColdRateMonitor {
  private readonly holds: HoldDetector;
  private timer: NodeJS.Timeout | undefined;
  private ticks = 0;
  private version = 0;
  private isStopped = false;

  /**
   * @param self IP:port of this host for peers.
   * @param listSightings Returns the other hosts that are heard.
   * @param readStage Returns the stage that this host reports to its peers.
   */
  constructor(
    private readonly self: string,
    private readonly rates: ColdRates,
    private readonly replica: SiteReplica,
    private readonly clock: Clock,
    private readonly log: EventLog,
    private readonly metrics: ColdMetrics,
    private readonly listSightings: () => readonly PeerSighting[],
    private readonly readStage: () => PeerStage,
  ) {
    this.holds = new HoldDetector(clock, TICK_MS, MIN_HOLD_MS);
  }

  /** Applies the published state. */
  applySite(): void {
    const configuration = this.replica.rules?.configuration;
    if (configuration === undefined) return;
    const nowMs = this.clock.nowMs();
    if (configuration.version !== this.version) {
      this.version = configuration.version;
      this.rates.setServices(configuration.services, nowMs);
      this.switchTimer();
    }
    if (!this.rates.isOn) return;
    const {upstreams} = this.replica;
    this.rates.update(upstreams.listAged(nowMs), nowMs);
    const ids = upstreams.listInUse(nowMs).map(({id}) => id);
    this.rates.retain(new Set(ids), nowMs);
    this.logChanges(nowMs);
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
  }

  /** Leaves out the upstreams that this host may not send a request to now. */
  filter(
    entries: readonly UpstreamEntry[],
    nowMs: number,
  ): readonly UpstreamEntry[] {
    if (!this.rates.isOn) return entries;
    this.recordHold(this.holds.readHoldMs());
    return entries.filter(({id}) => this.rates.mayTake(id, nowMs));
  }

  /** Counts an attempt that is placed. */
  recordPlacement({id, service}: UpstreamEntry, nowMs: number): void {
    if (this.rates.getUse(id, nowMs) === undefined) return;
    this.rates.recordSend(id, nowMs);
    this.metrics.sent.inc({service});
  }

  /** Whether an attempt that was placed some time ago may be sent now. */
  confirmSend({id}: UpstreamEntry, placedAtMs: number): boolean {
    if (!this.rates.isOn) return true;
    this.recordHold(this.holds.readHoldMs());
    return this.rates.confirmSend(id, placedAtMs, this.clock.nowMs());
  }

  /**
   * Returns the time after which a request may come again that found only upstreams
   * that this host may not send to now, in milliseconds; 0 if it may send to one.
   */
  planReturnMs(entries: readonly UpstreamEntry[], nowMs: number): number {
    const [first] = entries;
    if (!this.rates.isOn || first === undefined) return 0;
    const ids = entries.map(({id}) => id);
    const waitMs = this.rates.planReturnMs(ids, nowMs);
    const use = this.rates.getUse(first.id, nowMs) ?? ColdUse.SETTLING;
    if (waitMs > 0) this.metrics.refused.inc({service: first.service, use});
    return waitMs;
  }

  /** Returns the same; the request is not counted and takes no turn. */
  previewReturnMs(entries: readonly UpstreamEntry[], nowMs: number): number {
    const ids = entries.map(({id}) => id);
    return this.rates.isOn ? this.rates.previewReturnMs(ids, nowMs) : 0;
  }

  /** Returns why an upstream may not be sent a request now; undefined if it may. */
  findBar(id: string, nowMs: number): ColdUse | undefined {
    if (!this.rates.isOn || this.rates.mayTake(id, nowMs)) return undefined;
    return this.rates.getUse(id, nowMs) ?? ColdUse.SETTLING;
  }

  /** Counts the cold upstreams before metrics are read. */
  refreshGauges(): void {
    const nowMs = this.clock.nowMs();
    const listed = this.rates.isOn ? this.replica.upstreams.list() : [];
    const uses = listed.map(({id}) => this.rates.getUse(id, nowMs));
    for (const use of Object.values(ColdUse)) {
      const count = uses.filter(one => one === use).length;
      this.metrics.upstreams.set({use}, count);
    }
    const rate = listed.reduce(
      (sum, {id}) => sum + this.rates.getOwnRate(id, nowMs),
      0,
    );
    this.metrics.allowedRate.set(rate);
  }

  /** Runs the timer only where upstreams can be cold. */
  private switchTimer(): void {
    const isOn = this.rates.isOn && !this.isStopped;
    if (isOn === (this.timer !== undefined)) return;
    clearInterval(this.timer);
    this.timer = undefined;
    if (!isOn) return;
    this.holds.restart();
    this.readHosts();
    this.timer = setInterval(() => {
      this.tick();
    }, TICK_MS);
  }

  private tick(): void {
    this.recordHold(this.holds.readHoldMs());
    this.holds.restart();
    if (this.ticks++ % HOST_TICKS !== 0) return;
    this.readHosts();
    this.logChanges(this.clock.nowMs());
  }

  private recordHold(heldMs: number): void {
    if (heldMs === 0) return;
    this.rates.recordHold(heldMs, this.clock.nowMs());
    this.holds.restart();
    this.metrics.holds.inc();
    this.log.warn('host_held_up', {heldMs: Math.round(heldMs)});
  }

  private readHosts(): void {
    const nowMs = this.clock.nowMs();
    const hosts = this.listSightings().map(({beat, heardAtMs}): HeardHost => ({
      address: beat.peersAddress,
      heardAtMs,
      isStopping: beat.stage === PeerStage.STOPPING,
      knownHosts: beat.hosts,
    }));
    const isStopping = this.readStage() === PeerStage.STOPPING;
    const {self: address} = this;
    hosts.push({address, heardAtMs: nowMs, isStopping, knownHosts: 0});
    this.rates.setHosts(hosts, nowMs);
  }

  private logChanges(nowMs: number): void {
    for (const {isCold, ...change} of this.rates.listChanges(nowMs)) {
      const event = isCold ? 'upstream_cold' : 'upstream_warm';
      const {upstream, source, remainingMs, ageMs} = change;
      this.log.info(event, {
        upstream,
        source,
        remainingMs: Math.round(remainingMs),
        ageMs: Math.round(ageMs),
      });
    }
  }
}
