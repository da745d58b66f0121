import {expect} from 'chai';
import {PassMeter} from './pass_meter.js';
import {UpstreamHealth} from './upstream_health.js';

describe('UpstreamHealth', () => {
  let health: UpstreamHealth;

  beforeEach(() => {
    health = new UpstreamHealth();
  });

  // Load pattern: an upstream fails some of its requests for several seconds.
  it('avoids an upstream after two consecutive failures, with growing backoff', () => {
    health.recordFailure('a', false, 0);
    expect(health.isAvoided('a', 0)).to.equal(false);
    expect(health.recordFailure('a', false, 0)).to.equal(true);
    expect(health.isAvoided('a', 499)).to.equal(true);
    expect(health.isAvoided('a', 500)).to.equal(false);
    health.recordFailure('a', false, 500);
    expect(health.isAvoided('a', 1_499)).to.equal(true);
    for (let count = 0; count < 9; count++) {
      health.recordFailure('a', false, 2_000);
    }
    expect(health.isAvoided('a', 5_999)).to.equal(true);
    expect(health.isAvoided('a', 6_000)).to.equal(false);
  });

  it('resets the failure count after a complete answer', () => {
    health.recordFailure('a', false, 0);
    health.recordSuccess('a');
    health.recordFailure('a', false, 0);
    expect(health.isAvoided('a', 0)).to.equal(false);
  });

  it('avoids an unresponsive upstream at once and lists it until it is reachable', () => {
    expect(health.recordFailure('a', true, 0)).to.equal(true);
    expect(health.listUnreachable()).to.deep.equal(['a']);
    health.recordReachable('a');
    expect(health.listUnreachable()).to.deep.equal([]);
    expect(health.isAvoided('a', 100)).to.equal(true);
  });

  it('tracks the slowdown of an engine within bounds', () => {
    for (let i = 0; i < 12; i++) health.recordPassTimeRatio('a', 8);
    expect(health.getSlowdownFactor('a')).to.be.closeTo(8, 0.1);
    for (let i = 0; i < 12; i++) health.recordPassTimeRatio('a', 0.2);
    expect(health.getSlowdownFactor('a')).to.be.closeTo(1, 0.1);
  });

  it('drops the state of upstreams that are no longer listed', () => {
    health.recordFailure('a', true, 0);
    health.retain(new Set(['b']));
    expect(health.isAvoided('a', 0)).to.equal(false);
    expect(health.listUnreachable()).to.deep.equal([]);
  });
});

describe('PassMeter', () => {
  it('measures the shortest of several gaps, which excludes passes with prefill', () => {
    const meter = new PassMeter();
    const times = [0, 45, 300, 346, 391, 600, 646];
    const measurements = times.map(time => meter.recordEvent(time));
    expect(measurements.slice(0, 6).every(one => one === undefined)).to.equal(
      true,
    );
    expect(measurements[6]).to.equal(45);
  });
});
