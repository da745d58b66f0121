import {setTimeout as pause} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {CheckedUpstream} from './checked_upstream.js';
import type {GatewayFleet} from './gateway_fleet.js';

const MAX_GAP_MS = 2_000;
const MIN_LEAVE_MS = 2_500;
const MAX_LEAVE_MS = 4_000;

/** Lets upstreams say in their answers that they leave, and start anew later. */
export class LeavingFaults {
  private leaves = 0;

  constructor(
    private readonly fleet: GatewayFleet,
    private readonly upstreams: readonly CheckedUpstream[],
    private readonly random: RandomGenerator,
  ) {}

  /** Number of times that an upstream left. */
  get count(): number {
    return this.leaves;
  }

  /** Lets one upstream after the other leave until a time; all are back then. */
  async run(untilMs: number): Promise<void> {
    while (performance.now() < untilMs) {
      await pause(uniformInt(this.random, 0, MAX_GAP_MS));
      const at = uniformInt(this.random, 0, this.upstreams.length - 1);
      const upstream = this.upstreams[at];
      this.leaves++;
      upstream?.leave();
      await pause(uniformInt(this.random, MIN_LEAVE_MS, MAX_LEAVE_MS));
      upstream?.startAnew();
      this.fleet.publish(new Set());
    }
  }
}
