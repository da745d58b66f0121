import type {Clock} from './clock.js';

/** Clock of the operating system. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
