import {expect} from 'chai';
import {DeliveryDelays} from './delivery_delays.js';

describe('DeliveryDelays', () => {
  let delays: DeliveryDelays;

  /** Delivers messages sent and received at given times. */
  function deliver(
    ...times: readonly (readonly [number, number])[]
  ): boolean[] {
    return times.map(([sentAtMs, nowMs]) =>
      delays.isLate('h', '1', sentAtMs, nowMs),
    );
  }

  beforeEach(() => {
    delays = new DeliveryDelays();
  });

  it('does not take heartbeats that a freeze held up for fresh ones', () => {
    const late = deliver([100, 0], [400, 300], [700, 9_000], [9_000, 9_000]);
    expect(late).to.deep.equal([false, false, true, false]);
    expect(delays.isLate('h', '2', 0, 9_100)).to.equal(false);
  });

  it('does not lose a live host whose clock was set or whose link is slow', () => {
    const slow = deliver([0, 0], [600, 3_600], [3_600, 6_600], [6_600, 9_600]);
    expect(slow).to.deep.equal([false, true, false, false]);
    expect(deliver([20_000, 10_000], [20_000, 10_600])).to.deep.equal([
      false,
      false,
    ]);
    expect(delays.isLate('old', '1', undefined, 0)).to.equal(false);
  });
});
