import {SharedRetryBudget} from '@parsleywood/forwarding';
import type {GatewaySettings} from '@parsleywood/schema/gateway_settings';
import type {Clock} from '../../host/clock.js';

/** This host's share of the site's retry budgets, by service. */
export class RetryBudgets {
  private readonly budgets = new Map<string, SharedRetryBudget>();

  /** @param countHosts Returns the number of hosts that share the budgets. */
  constructor(
    private bounds: GatewaySettings['bounds'],
    private readonly clock: Clock,
    private readonly countHosts: () => number,
  ) {}

  /** Applies new bounds. A change resets all budgets. */
  setBounds(bounds: GatewaySettings['bounds']): void {
    if (JSON.stringify(bounds) === JSON.stringify(this.bounds)) return;
    this.bounds = bounds;
    this.budgets.clear();
  }

  recordRequest(service: string): void {
    this.find(service).recordRequest(this.clock.nowMs());
  }

  hasRetry(service: string): boolean {
    return this.find(service).hasRetry(this.countHosts(), this.clock.nowMs());
  }

  tryRetry(service: string): boolean {
    return this.find(service).tryRetry(this.countHosts(), this.clock.nowMs());
  }

  private find(service: string): SharedRetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const {retryRatio, retrySlack, retryWindowMs} = this.bounds;
    const budget = new SharedRetryBudget(retryRatio, retrySlack, retryWindowMs);
    this.budgets.set(service, budget);
    return budget;
  }
}
