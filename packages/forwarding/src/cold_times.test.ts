import {expect} from 'chai';
import {SiteDeltaLog} from './site_delta_log.js';
import {createUpstream} from './testing/create_upstream.js';
import {UpstreamRegistry} from './upstream_registry.js';

const cold = (coldRemainingMs: number, revision: number) =>
  createUpstream('u', {coldRemainingMs, revision});

function readLeftMs(registry: UpstreamRegistry, nowMs: number) {
  return registry.listAged(nowMs)[0]?.coldRemainingMs ?? 0;
}

describe('ColdTimes', () => {
  // Failure: an upstream stays unused, as each host counts its cold time anew.
  it('counts the time from the first reading of an entry, also where peers pass it on', () => {
    const first = new UpstreamRegistry();
    first.write(cold(10_000, 1), 0);
    first.replace([cold(10_000, 1)], 4_000.5, false);
    expect(readLeftMs(first, 4_000.5)).to.equal(6_000);
    const second = new UpstreamRegistry();
    second.replace(first.listAged(4_000.5), 50_000, false);
    expect(readLeftMs(second, 55_000)).to.equal(1_000);
    expect(second.listAged(56_001)).to.deep.equal([
      createUpstream('u', {coldRemainingMs: 0, revision: 1}),
    ]);
    const log = new SiteDeltaLog();
    const change = {epoch: 0, revision: 1, updated: [cold(9_000, 1)]};
    const delta = {...change, fromRevision: 0, mayHaveExpired: false};
    log.add({...delta, removed: []}, 1_000);
    const [late] = log.listSince({epoch: 0, revision: 0}, 3_000) ?? [];
    expect(late?.updated).to.deep.equal([cold(7_000, 1)]);
  });

  // Failure: a copy of the store makes hosts count a cold upstream as warm.
  it('follows the newest entry, but lets a copy of the store shorten nothing', () => {
    const registry = new UpstreamRegistry();
    registry.write(cold(3_000, 1), 0);
    registry.write(cold(9_000, 2), 1_000);
    registry.rebase([cold(3_000, 1)], 2_000);
    expect(readLeftMs(registry, 2_000)).to.equal(8_000);
    registry.replace([cold(3_000, 1)], 2_500, false);
    expect(readLeftMs(registry, 2_500)).to.equal(7_500);
    registry.write(createUpstream('u', {revision: 3}), 3_000);
    expect(readLeftMs(registry, 3_000)).to.equal(0);
  });
});
