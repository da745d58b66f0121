import {ColdRates} from '@parsleywood/dispatch';
import {DEFAULT_CALLER_LIMITS, SiteReplica} from '@parsleywood/forwarding';
import {createUpstream} from '@parsleywood/forwarding/testing';
import {PeerStage} from '@parsleywood/membership';
import {expect} from 'chai';
import {Registry} from 'prom-client';
import type {EventLog} from '../../host/event_log.js';
import {ColdMetrics} from './cold_metrics.js';
import {ColdRateMonitor} from './cold_rate_monitor.js';

const COLD_START = {durationMs: 8_000, requestsPerSecond: 18};
const WARM = createUpstream('warm', {revision: 1});
const COLD = createUpstream('cold', {revision: 1, coldRemainingMs: 60_000});

/** Starts the monitor of a site with one host, on a clock that the test sets. */
function start(coldStart?: typeof COLD_START) {
  const time = {nowMs: 0, wallMs: 0};
  const clock = {nowMs: () => time.nowMs, wallMs: () => time.wallMs};
  const events: string[] = [];
  const log = {
    info: (event: string, {upstream}: {upstream: string}) =>
      events.push(`${event} ${upstream}`),
    warn: (event: string) => events.push(event),
  } as unknown as EventLog;
  const replica = new SiteReplica();
  const services = [{name: 's', ...(coldStart && {coldStart})}];
  const limits = DEFAULT_CALLER_LIMITS;
  const configuration = {version: 1, routes: [], services, limits};
  const upstreams = [WARM, COLD];
  const site = {epoch: 0, revision: 1, configuration, upstreams};
  replica.applySnapshot(site, 0, false);
  const monitor = new ColdRateMonitor(
    'self',
    new ColdRates('self', [], {overage: 1.5, slack: 5}, 0),
    replica,
    clock,
    log,
    new ColdMetrics(new Registry()),
    () => [],
    () => PeerStage.READY,
  );
  monitor.applySite();
  const filter = (nowMs: number, wallMs = nowMs): string[] => {
    Object.assign(time, {nowMs, wallMs});
    return monitor.filter([WARM, COLD], nowMs).map(({id}) => id);
  };
  return {monitor, events, filter};
}

describe('ColdRateMonitor', () => {
  let monitor: ColdRateMonitor | undefined;

  afterEach(() => {
    monitor?.stop();
  });

  it('leaves all upstreams in use where no service has a cold start', () => {
    const {filter, events} = start();
    expect(filter(5_000)).to.deep.equal(['warm', 'cold']);
    expect(events).to.deep.equal([]);
  });

  // Failure: a host that wakes sends at once what waited, to upstreams that it takes
  // for warm.
  it('sends nothing after a hold, before its timer has run and whichever clock shows it', () => {
    for (const [nowMs, wallMs] of [
      [9_000, 9_000],
      [10, 9_000],
    ] as const) {
      const site = start(COLD_START);
      monitor = site.monitor;
      expect(site.filter(5, 5)).to.deep.equal(['warm']);
      expect(site.filter(nowMs, wallMs)).to.deep.equal([]);
      expect(site.monitor.planReturnMs([WARM, COLD], nowMs)).to.equal(1_500);
      expect(site.monitor.confirmSend(WARM, nowMs - 5)).to.equal(false);
      expect(site.events).to.deep.equal(['upstream_cold cold', 'host_held_up']);
      site.monitor.stop();
    }
  });
});
