import type {AccountSettings} from '@parsleywood/schema/settings';

import type {Demand} from './demand.js';
import {RateMeter} from './rate_meter.js';
import type {ReturnPacer} from './retry_pacer.js';
import {TokenBucket} from './token_bucket.js';

const DEMAND_TIME_CONSTANT_MS = 1000;

/** What a host keeps of one client account while it is active. */
export class AccountState {
  readonly requestBucket = new TokenBucket();
  readonly tokenBucket = new TokenBucket();
  readonly requestDemand = new RateMeter(DEMAND_TIME_CONSTANT_MS);
  readonly tokenDemand = new RateMeter(DEMAND_TIME_CONSTANT_MS);
  /** Requests refused over the concurrency limit. */
  readonly refusedDemand = new RateMeter(DEMAND_TIME_CONSTANT_MS);
  /** Requests queued or admitted. */
  held = 0;
  lastOfferMs = -Infinity;
  /** Demand last told to the peers. */
  announced: Demand | undefined;

  constructor(
    public settings: Partial<AccountSettings>,
    readonly pacer: ReturnPacer,
  ) {}

  get hasLimits(): boolean {
    const {requestsPerSecond, tokensPerSecond, concurrentRequests} =
      this.settings;
    return (
      requestsPerSecond !== undefined ||
      tokensPerSecond !== undefined ||
      concurrentRequests !== undefined
    );
  }
}
