import type {AccountSettings} from '@parsleywood/schema/settings';

import type {Demand} from './demand.js';
import {RateMeter} from './rate_meter.js';
import type {RetryPacer} from './retry_pacer.js';
import {TokenBucket} from './token_bucket.js';

const DEMAND_TIME_CONSTANT_MS = 1000;

/** State of one active client account at this host. */
export class AccountState {
  readonly requestBucket = new TokenBucket();
  readonly tokenBucket = new TokenBucket();
  readonly requestDemand = new RateMeter(DEMAND_TIME_CONSTANT_MS);
  readonly tokenDemand = new RateMeter(DEMAND_TIME_CONSTANT_MS);
  /** Rate of requests refused by the concurrency limit. */
  readonly refusedDemand = new RateMeter(DEMAND_TIME_CONSTANT_MS);
  /** Concurrency slots in use, by requests that are queued or admitted. */
  inUse = 0;
  lastRequestMs = -Infinity;
  /** Demand last announced to the peers. */
  announcedDemand: Demand | undefined;

  constructor(
    public settings: Partial<AccountSettings>,
    readonly pacer: RetryPacer,
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
