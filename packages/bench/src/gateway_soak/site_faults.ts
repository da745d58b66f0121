import {setTimeout as pause} from 'node:timers/promises';
import type {CheckedUpstream} from './checked_upstream.js';
import type {GatewayFleet} from './gateway_fleet.js';
import {ODD_SITE_PARTS} from './odd_site_parts.js';

const MIN_GAP_MS = 50;
const MAX_GAP_MS = 900;
const MAX_DRAIN_MS = 2_500;
const MAX_SERIES = 5;
const MAX_LOST_VERSIONS = 4;

/** Changes, breaks and restores the site's file. */
export class SiteFaults {
  /** @param draw Draws an integer between two. */
  constructor(
    private readonly fleet: GatewayFleet,
    private readonly upstreams: readonly CheckedUpstream[],
    private readonly draw: (from: number, to: number) => number,
  ) {}

  /** Leaves a file that cannot be read, then lets an upstream drain for a while. */
  async breakAndDrain(): Promise<void> {
    const {texts} = ODD_SITE_PARTS;
    this.fleet.breakFile(texts[this.draw(0, texts.length - 1)] ?? '');
    await pause(this.draw(MIN_GAP_MS, MAX_GAP_MS));
    const drained = this.upstreams[this.draw(0, this.upstreams.length - 1)];
    this.fleet.publish(new Set(drained ? [drained.id] : []));
    await pause(this.draw(MIN_GAP_MS, MAX_DRAIN_MS));
    this.fleet.publish(new Set());
  }

  /** Publishes several versions, some with an upstream that cannot be reached. */
  async publishSeries(): Promise<void> {
    const {upstreams} = ODD_SITE_PARTS;
    for (let left = this.draw(1, MAX_SERIES); left > 0; left--) {
      // Some draws leave the list as it is.
      const odd = upstreams[this.draw(0, 2 * upstreams.length)];
      this.fleet.publish(new Set(), odd ? [odd] : []);
      await pause(this.draw(MIN_GAP_MS, MAX_GAP_MS));
    }
    this.fleet.publish(new Set());
  }

  /** Lets the site come back from a copy, and be published again after a while. */
  async restore(): Promise<void> {
    this.fleet.restore(this.draw(0, MAX_LOST_VERSIONS));
    await pause(this.draw(MIN_GAP_MS, MAX_GAP_MS));
    this.fleet.publish(new Set());
  }
}
