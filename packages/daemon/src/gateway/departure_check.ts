import type {UpstreamEntry} from '@parsleywood/forwarding';
import {canConnect} from './can_connect.js';
import type {GatewayContext} from './gateway_context.js';

/**
 * Finds out whether upstreams have gone that may still have open connections. Load
 * pattern: servers that lose power while they run long prompts, and whose addresses
 * others get.
 */
export class DepartureCheck {
  constructor(private readonly context: GatewayContext) {}

  /** Whether an upstream is no longer listed. */
  hasLeft({id}: UpstreamEntry): boolean {
    return this.context.replica.upstreams.find(id) === undefined;
  }

  /**
   * Whether an upstream that has left is gone.
   *
   * @param mayReturn Whether one that takes no connections may be back later.
   */
  async isGone(
    {id, address}: UpstreamEntry,
    mayReturn: boolean,
  ): Promise<boolean> {
    const {replica, reach} = this.context;
    const owner = replica.upstreams.findByAddress(address);
    if (owner !== undefined && owner.id !== id) return true;
    if (mayReturn || (await canConnect(address))) return false;
    return reach.testReach();
  }
}
