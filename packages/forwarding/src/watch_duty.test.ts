import {expect} from 'chai';
import fc from 'fast-check';
import {WatchDuty} from './watch_duty.js';

const DIGEST_MS = 600;
/** Latest time after a relay fell silent at which a host watches the store. */
const MAX_BLIND_MS = 1_300;

describe('WatchDuty', () => {
  let duty: WatchDuty;

  beforeEach(() => {
    duty = new WatchDuty();
  });

  it('lets a host without a relay watch the store', () => {
    expect(duty.mustWatch(0)).to.equal(true);
  });

  it('frees a host whose relay has contact with the store', () => {
    duty.setRelay('r');
    expect(duty.mustWatch(0)).to.equal(true);
    duty.recordMessage('r', 0);
    expect(duty.mustWatch(0)).to.equal(true);
    duty.recordContact('r', 2_500, 0);
    expect(duty.mustWatch(DIGEST_MS)).to.equal(false);
  });

  it('takes only the word of its own relay, and a new one has to tell first', () => {
    duty.setRelay('r');
    duty.recordMessage('other', 0);
    duty.recordContact('other', 0, 0);
    expect(duty.mustWatch(0)).to.equal(true);
    duty.recordMessage('r', 0);
    duty.recordContact('r', 0, 0);
    expect(duty.mustWatch(0)).to.equal(false);
    duty.setRelay('s');
    expect(duty.mustWatch(0)).to.equal(true);
  });

  it('watches at once when the store does not answer the relay', () => {
    duty.setRelay('r');
    duty.recordMessage('r', 0);
    duty.recordContact('r', 0, 0);
    duty.recordContact('r', undefined, 1);
    expect(duty.mustWatch(1)).to.equal(true);
  });

  it('watches soon after its relay fell silent, and not while digests arrive', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 100}), {maxLength: 40}),
        delays => {
          const subject = new WatchDuty();
          subject.setRelay('r');
          let lastMs = 0;
          delays.forEach((delayMs, index) => {
            lastMs = index * DIGEST_MS + delayMs;
            subject.recordMessage('r', lastMs);
            subject.recordContact('r', 2_500, lastMs);
            expect(subject.mustWatch(lastMs + DIGEST_MS)).to.equal(false);
          });
          expect(subject.mustWatch(lastMs + MAX_BLIND_MS)).to.equal(true);
        },
      ),
      {seed: 1, numRuns: 200},
    );
  });
});
