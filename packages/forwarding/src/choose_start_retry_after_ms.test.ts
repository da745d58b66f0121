import {expect} from 'chai';
import {chooseStartRetryAfterMs} from './choose_start_retry_after_ms.js';

describe('chooseStartRetryAfterMs', () => {
  it('does not bring back all refused callers of a restarted site at once', () => {
    const draws = Array.from({length: 100}, (_, index) => index / 100);
    const delays = draws.map(draw => chooseStartRetryAfterMs(false, draw));
    const perSlot = new Map<number, number>();
    for (const delayMs of delays) {
      const slot = Math.floor(delayMs / 250);
      perSlot.set(slot, (perSlot.get(slot) ?? 0) + 1);
    }
    expect(Math.min(...delays)).to.be.at.least(1_000);
    expect(Math.max(...perSlot.values())).to.be.at.most(20);
  });

  it('sends callers to other hosts without delay while these serve', () => {
    expect(chooseStartRetryAfterMs(true, 0.9)).to.equal(50);
  });
});
