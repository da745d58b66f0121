import {expect} from 'chai';
import fc from 'fast-check';
import {ConnectionBounds} from './connection_bounds.js';

const MAX = 20;
const WEIGHT = 2;

describe('ConnectionBounds', () => {
  // Guards against hosts without a descriptor left for their upstreams.
  it('bounds connections, and closes idle ones before those with a request', () => {
    const steps = fc.array(
      fc.record({
        connection: fc.integer({min: 0, max: 60}),
        does: fc.constantFrom('opens', 'asks', 'rests', 'leaves'),
      }),
    );
    fc.assert(
      fc.property(steps, all => {
        const bounds = new ConnectionBounds<number>(MAX, WEIGHT);
        const open = new Map<number, boolean>();
        for (const {connection, does} of all) {
          const isOpen = open.has(connection);
          let closed: number[] = [];
          if (does === 'opens' && !isOpen) {
            open.set(connection, false);
            closed = bounds.open(connection);
          } else if (does === 'asks' && isOpen) {
            open.set(connection, true);
            closed = bounds.recordBusy(connection);
          } else if (does === 'rests' && isOpen) {
            open.set(connection, false);
            bounds.recordIdle(connection);
          } else if (does === 'leaves') {
            open.delete(connection);
            bounds.close(connection);
          }
          const hadIdle = [...open.values()].includes(false);
          for (const one of closed) {
            if (hadIdle && closed.length === 1) {
              expect(open.get(one)).to.equal(false);
            }
            open.delete(one);
          }
          const busy = [...open.values()].filter(one => one).length;
          expect(bounds.count).to.equal(open.size);
          expect(open.size + busy * (WEIGHT - 1)).to.be.at.most(MAX);
        }
      }),
      {seed: 1, numRuns: 500},
    );
  });
});
