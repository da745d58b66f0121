import type {Clock} from './clock.js';

/** The machine's own time. */
export class SystemClock implements Clock {
  nowMs(): number {
    return performance.now();
  }

  wallMs(): number {
    return Date.now();
  }
}
