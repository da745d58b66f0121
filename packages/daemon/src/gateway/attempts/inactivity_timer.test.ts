import {setTimeout as pause} from 'node:timers/promises';
import {createRoute} from '@parsleywood/forwarding/testing';
import {expect} from 'chai';
import {InactivityTimer} from './inactivity_timer.js';

const WAIT_MS = 50;

describe('InactivityTimer', () => {
  for (const objectiveMs of [2 ** 31, 1e300]) {
    it(`waits where an objective is ${objectiveMs} ms`, async () => {
      const route = createRoute({
        latencyObjectiveMs: objectiveMs,
        pauseObjectiveMs: objectiveMs,
      });
      let timeouts = 0;
      const count = (): void => void timeouts++;
      const timer = new InactivityTimer(route, true, count, count);
      timer.awaitResponse(undefined);
      await pause(WAIT_MS);
      timer.awaitEvent();
      await pause(WAIT_MS);
      timer.stop();
      expect(timeouts).to.equal(0);
    });
  }
});
