import type {LimitMessage} from '@parsleywood/schema/limits';
import type {AccountSettings} from '@parsleywood/schema/settings';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import type {AdmissionOptions} from './admission_options.js';
import {AccountState} from './account_state.js';
import type {Demand} from './demand.js';
import {DemandKind} from './demand_kind.js';
import {hasRisen} from './has_risen.js';
import {LimitShares} from './limit_shares.js';
import type {AdmissionRequest} from './admission_request.js';
import {RetryPacer} from './retry_pacer.js';
import type {TokenBucket} from './token_bucket.js';

const MS_PER_SECOND = 1000;
const SEND_INTERVAL_MS = 500;
/** Minimum time from the last messages to those that announce a rise in demand. */
const MIN_SEND_INTERVAL_MS = 200;
/** Burst size of the rate limits, as time at the full rate. */
const BURST_CAPACITY_MS = 300;
/** The state of an account is evicted after this time without requests. */
const IDLE_TIMEOUT_MS = 10_000;
/**
 * Minimum demand to announce, as a fraction of an equal split of the limit.
 * Lower demand needs no message, because each host keeps a larger fraction
 * without one.
 */
const MIN_ANNOUNCED_FRACTION = 0.025;
/** Maximum number of accounts in one message. */
const MAX_ANNOUNCED = 256;
const CONCURRENCY_RETRY_AFTER_MS = 200;
const UNKNOWN_ACCOUNT_SETTINGS: Partial<AccountSettings> = {};

/** Enforces the limits of client accounts across all hosts that share them. */
export class AccountLimits {
  private readonly accounts = new Map<string, AccountState>();
  private readonly shares: LimitShares;
  private readonly random: RandomGenerator;
  private settings: AdmissionOptions['settings']['accounts'];
  private readonly getLaneDemand: AdmissionOptions['getLaneDemand'];
  private lastSentMs = -Infinity;
  private nextSendMs = Infinity;

  constructor(options: AdmissionOptions) {
    this.shares = new LimitShares(options.self, options.listHosts);
    this.random = options.random;
    this.getLaneDemand = options.getLaneDemand;
    this.settings = options.settings.accounts;
  }

  /** Monotonic time at which the next messages are due; Infinity when none are. */
  get sendAtMs(): number {
    return this.nextSendMs;
  }

  get activeAccounts(): number {
    return this.accounts.size;
  }

  /** Weight of the account in the fair queue; 1 when the settings have none. */
  getWeight(account: string): number {
    return this.settings[account]?.share ?? 1;
  }

  setSettings(settings: AdmissionOptions['settings']['accounts']): void {
    this.settings = settings;
    for (const [name, state] of this.accounts) {
      state.settings = this.getSettings(name);
    }
  }

  setPeers(hosts: readonly string[], nowMs: number): void {
    this.shares.setPeers(hosts);
    this.nextSendMs = Math.min(this.nextSendMs, nowMs);
  }

  receive(from: string, message: LimitMessage, nowMs: number): void {
    if (this.shares.receive(from, message, nowMs)) this.scheduleSend(nowMs);
  }

  /**
   * Counts the request as demand. Returns 0 when the limits allow it, otherwise
   * the time in milliseconds after which the caller should retry.
   */
  check(request: AdmissionRequest, nowMs: number): number {
    const state = this.getOrCreateState(request.account);
    state.lastRequestMs = nowMs;
    state.requestDemand.add(1, nowMs);
    state.tokenDemand.add(request.tokens, nowMs);
    if (!state.hasLimits) return 0;
    const waitMs = Math.max(
      this.checkConcurrency(request.account, state, nowMs),
      this.checkRate(request, DemandKind.REQUESTS, state, nowMs),
      this.checkRate(request, DemandKind.TOKENS, state, nowMs),
    );
    if (waitMs > 0 && hasRisen(state.announcedDemand, toDemand(state, nowMs))) {
      this.scheduleSend(nowMs);
    }
    return waitMs;
  }

  /** Charges a request that `check` allowed to the account's limits. */
  charge(request: AdmissionRequest): void {
    const state = this.getOrCreateState(request.account);
    state.inUse++;
    if (state.settings.requestsPerSecond !== undefined) {
      state.requestBucket.take(1);
    }
    if (state.settings.tokensPerSecond !== undefined) {
      state.tokenBucket.take(request.tokens);
    }
  }

  /**
   * Releases the concurrency slot of a request and corrects its token charge to
   * the tokens used. A request that used none did not run: its request charge
   * is refunded, too.
   */
  release(request: AdmissionRequest, usedTokens: number): void {
    const state = this.accounts.get(request.account);
    if (!state) return;
    state.inUse--;
    if (usedTokens === 0) state.requestBucket.take(-1);
    state.tokenBucket.take(usedTokens - request.tokens);
  }

  /** Returns the messages that are due, by receiving host, and schedules the next. */
  takeDueMessages(nowMs: number): Map<string, LimitMessage> {
    const messages = new Map<string, LimitMessage>();
    if (nowMs < this.nextSendMs) return messages;
    this.evictIdle(nowMs);
    const demands = this.collectDemand(nowMs);
    const lanes = [...(this.getLaneDemand?.(nowMs) ?? [])];
    for (const host of this.shares.listPeers()) {
      const demand = demands.get(host) ?? new Map<string, Demand>();
      const isDue = this.shares.isDue(host, demand, nowMs);
      if (!isDue && lanes.length === 0) continue;
      const message = this.shares.createMessage(host, demand, nowMs);
      if (message) messages.set(host, {...message, lanes});
    }
    this.lastSentMs = nowMs;
    const isActive = messages.size > 0 || this.accounts.size > 0;
    this.nextSendMs = isActive ? nowMs + SEND_INTERVAL_MS : Infinity;
    return messages;
  }

  private scheduleSend(nowMs: number): void {
    const earliestMs = Math.max(nowMs, this.lastSentMs + MIN_SEND_INTERVAL_MS);
    this.nextSendMs = Math.min(this.nextSendMs, earliestMs);
  }

  private checkConcurrency(
    account: string,
    state: AccountState,
    nowMs: number,
  ): number {
    const max = state.settings.concurrentRequests;
    if (max === undefined) return 0;
    const kind = DemandKind.CONCURRENT;
    if (state.inUse < this.shares.getSlots(account, kind, max, nowMs)) return 0;
    state.refusedDemand.add(1, nowMs);
    return state.pacer.scheduleRetry(
      CONCURRENCY_RETRY_AFTER_MS,
      CONCURRENCY_RETRY_AFTER_MS / max,
      nowMs,
    );
  }

  private checkRate(
    request: AdmissionRequest,
    kind: DemandKind.REQUESTS | DemandKind.TOKENS,
    state: AccountState,
    nowMs: number,
  ): number {
    const isRequests = kind === DemandKind.REQUESTS;
    const limit = isRequests
      ? state.settings.requestsPerSecond
      : state.settings.tokensPerSecond;
    if (limit === undefined) return 0;
    const cost = isRequests ? 1 : request.tokens;
    const fraction = this.shares.getFraction(request.account, kind, nowMs);
    const perMs = (limit / MS_PER_SECOND) * fraction;
    const capacity = Math.max(perMs * BURST_CAPACITY_MS, 1);
    const bucket: TokenBucket = isRequests
      ? state.requestBucket
      : state.tokenBucket;
    bucket.refill(perMs, capacity, nowMs);
    const waitMs = bucket.getWaitMs(cost, perMs, capacity);
    if (waitMs === 0) return 0;
    return state.pacer.scheduleRetry(waitMs, cost / perMs, nowMs);
  }

  private collectDemand(nowMs: number): Map<string, Map<string, Demand>> {
    const demands = new Map<string, Map<string, Demand>>();
    for (const [account, state] of this.accounts) {
      if (!state.hasLimits) continue;
      const demand = toDemand(state, nowMs);
      const sharingHosts = this.shares.listSharingHosts(account);
      if (!isWorthAnnouncing(state, demand, sharingHosts.length + 1)) continue;
      state.announcedDemand = demand;
      for (const host of sharingHosts) {
        const hostDemand = demands.get(host) ?? new Map<string, Demand>();
        if (hostDemand.size < MAX_ANNOUNCED) hostDemand.set(account, demand);
        demands.set(host, hostDemand);
      }
    }
    return demands;
  }

  private evictIdle(nowMs: number): void {
    for (const [account, state] of this.accounts) {
      if (state.inUse <= 0 && nowMs - state.lastRequestMs > IDLE_TIMEOUT_MS) {
        this.accounts.delete(account);
      }
    }
  }

  private getOrCreateState(account: string): AccountState {
    let state = this.accounts.get(account);
    if (!state) {
      const pacer = new RetryPacer(this.random);
      state = new AccountState(this.getSettings(account), pacer);
      this.accounts.set(account, state);
      if (this.nextSendMs === Infinity) this.nextSendMs = this.lastSentMs;
    }
    return state;
  }

  private getSettings(account: string): Partial<AccountSettings> {
    return this.settings[account] ?? UNKNOWN_ACCOUNT_SETTINGS;
  }
}

/** Whether the demand may exceed what this host may use without announcing it. */
function isWorthAnnouncing(
  {settings}: AccountState,
  demand: Demand,
  hostCount: number,
): boolean {
  const {requestsPerSecond, tokensPerSecond, concurrentRequests} = settings;
  const exceeds = (kind: DemandKind, limit = Infinity) =>
    demand[kind] > (MIN_ANNOUNCED_FRACTION * limit) / hostCount;
  return (
    exceeds(DemandKind.REQUESTS, requestsPerSecond) ||
    exceeds(DemandKind.TOKENS, tokensPerSecond) ||
    exceeds(DemandKind.CONCURRENT, concurrentRequests)
  );
}

function toDemand(state: AccountState, nowMs: number): Demand {
  return {
    [DemandKind.REQUESTS]: state.requestDemand.getPerSecond(nowMs),
    [DemandKind.TOKENS]: state.tokenDemand.getPerSecond(nowMs),
    [DemandKind.CONCURRENT]:
      state.inUse + state.refusedDemand.getPerSecond(nowMs),
  };
}
