import type {LimitMessage} from '@parsleywood/schema/limits';
import type {AccountSettings} from '@parsleywood/schema/settings';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

import type {AdmissionOptions} from './admission_options.js';
import {AccountState} from './account_state.js';
import type {Demand} from './demand.js';
import {DemandKind} from './demand_kind.js';
import {hasRisen} from './has_risen.js';
import {LimitShares} from './limit_shares.js';
import type {Offer} from './offer.js';
import {ReturnPacer} from './retry_pacer.js';
import type {TokenBucket} from './token_bucket.js';

const MS_PER_SECOND = 1000;
const SEND_INTERVAL_MS = 500;
/** Least time between two messages when demand changes. */
const MIN_SEND_GAP_MS = 200;
/** Time at the full rate that an account may save up. */
const BURST_MS = 300;
/** An account without requests for this long is forgotten. */
const IDLE_MS = 10_000;
/** Demand below this part of an equal split needs no message: hosts keep more. */
const NOTABLE_PART = 0.025;
const MAX_ANNOUNCED = 256;
const CONCURRENT_RETRY_MS = 200;
const UNKNOWN_ACCOUNT: Partial<AccountSettings> = {};

/** Holds the limits of the accounts over all hosts that share them. */
export class AccountLimits {
  private readonly accounts = new Map<string, AccountState>();
  private readonly shares: LimitShares;
  private readonly random: RandomGenerator;
  private settings: AdmissionOptions['settings']['accounts'];
  private readonly laneDemand: AdmissionOptions['laneDemand'];
  private lastSentMs = -Infinity;
  private dueMs = Infinity;

  constructor(options: AdmissionOptions) {
    this.shares = new LimitShares(options.self, options.hostsOf);
    this.random = options.random;
    this.laneDemand = options.laneDemand;
    this.settings = options.settings.accounts;
  }

  /** Monotonic time at which messages are due; Infinity when none are. */
  get sendAtMs(): number {
    return this.dueMs;
  }

  get activeAccounts(): number {
    return this.accounts.size;
  }

  /** Weight of the account in the fair queue. */
  shareOf(account: string): number {
    return this.settings[account]?.share ?? 1;
  }

  setSettings(settings: AdmissionOptions['settings']['accounts']): void {
    this.settings = settings;
    for (const [name, state] of this.accounts) {
      state.settings = this.settingsOf(name);
    }
  }

  setPeers(hosts: readonly string[], nowMs: number): void {
    this.shares.setPeers(hosts);
    this.dueMs = Math.min(this.dueMs, nowMs);
  }

  hear(from: string, message: LimitMessage, nowMs: number): void {
    if (this.shares.hear(from, message, nowMs)) this.sendSoon(nowMs);
  }

  /** Counts the offer; returns 0 or the time after which it may come back. */
  check(offer: Offer, nowMs: number): number {
    const state = this.stateOf(offer.account);
    state.lastOfferMs = nowMs;
    state.requestDemand.add(1, nowMs);
    state.tokenDemand.add(offer.tokens, nowMs);
    if (!state.hasLimits) return 0;
    const waitMs = Math.max(
      this.checkPlaces(offer.account, state, nowMs),
      this.checkRate(offer, DemandKind.REQUESTS, state, nowMs),
      this.checkRate(offer, DemandKind.TOKENS, state, nowMs),
    );
    if (waitMs > 0 && hasRisen(state.announced, toDemand(state, nowMs))) {
      this.sendSoon(nowMs);
    }
    return waitMs;
  }

  /** Takes an offer that was checked into the account's limits. */
  take(offer: Offer): void {
    const state = this.stateOf(offer.account);
    state.held++;
    if (state.settings.requestsPerSecond !== undefined) {
      state.requestBucket.take(1);
    }
    if (state.settings.tokensPerSecond !== undefined) {
      state.tokenBucket.take(offer.tokens);
    }
  }

  /** Frees the place of a request; its rate is given back when it never ran. */
  free(offer: Offer, ranTokens: number): void {
    const state = this.accounts.get(offer.account);
    if (!state) return;
    state.held--;
    if (ranTokens === 0) state.requestBucket.take(-1);
    state.tokenBucket.take(ranTokens - offer.tokens);
  }

  /** The messages that are due, by peer. */
  takeMessages(nowMs: number): Map<string, LimitMessage> {
    const messages = new Map<string, LimitMessage>();
    if (nowMs < this.dueMs) return messages;
    this.forgetIdle(nowMs);
    const demands = this.collectDemand(nowMs);
    const lanes = [...(this.laneDemand?.(nowMs) ?? [])];
    for (const host of this.shares.peerNames()) {
      const demand = demands.get(host) ?? new Map<string, Demand>();
      const isOwed = this.shares.isOwed(host, demand, nowMs);
      if (!isOwed && lanes.length === 0) continue;
      const message = this.shares.announce(host, demand, nowMs);
      if (message) messages.set(host, {...message, lanes});
    }
    this.lastSentMs = nowMs;
    const active = messages.size > 0 || this.accounts.size > 0;
    this.dueMs = active ? nowMs + SEND_INTERVAL_MS : Infinity;
    return messages;
  }

  private sendSoon(nowMs: number): void {
    const soonMs = Math.max(nowMs, this.lastSentMs + MIN_SEND_GAP_MS);
    this.dueMs = Math.min(this.dueMs, soonMs);
  }

  private checkPlaces(
    account: string,
    state: AccountState,
    nowMs: number,
  ): number {
    const limit = state.settings.concurrentRequests;
    if (limit === undefined) return 0;
    const kind = DemandKind.CONCURRENT;
    if (state.held < this.shares.places(account, kind, limit, nowMs)) return 0;
    state.refusedDemand.add(1, nowMs);
    return state.pacer.retryAfterMs(
      CONCURRENT_RETRY_MS,
      CONCURRENT_RETRY_MS / limit,
      nowMs,
    );
  }

  private checkRate(
    offer: Offer,
    kind: DemandKind.REQUESTS | DemandKind.TOKENS,
    state: AccountState,
    nowMs: number,
  ): number {
    const isRequests = kind === DemandKind.REQUESTS;
    const limit = isRequests
      ? state.settings.requestsPerSecond
      : state.settings.tokensPerSecond;
    if (limit === undefined) return 0;
    const cost = isRequests ? 1 : offer.tokens;
    const share = this.shares.share(offer.account, kind, nowMs);
    const perMs = (limit / MS_PER_SECOND) * share;
    const capacity = Math.max(perMs * BURST_MS, 1);
    const bucket: TokenBucket = isRequests
      ? state.requestBucket
      : state.tokenBucket;
    bucket.refill(perMs, capacity, nowMs);
    const waitMs = bucket.waitMs(cost, perMs, capacity);
    if (waitMs === 0) return 0;
    return state.pacer.retryAfterMs(waitMs, cost / perMs, nowMs);
  }

  private collectDemand(nowMs: number): Map<string, Map<string, Demand>> {
    const demands = new Map<string, Map<string, Demand>>();
    for (const [account, state] of this.accounts) {
      if (!state.hasLimits) continue;
      const demand = toDemand(state, nowMs);
      const sharers = this.shares.sharersOf(account);
      if (!isNotable(state, demand, sharers.length + 1)) continue;
      state.announced = demand;
      for (const host of sharers) {
        const told = demands.get(host) ?? new Map<string, Demand>();
        if (told.size < MAX_ANNOUNCED) told.set(account, demand);
        demands.set(host, told);
      }
    }
    return demands;
  }

  private forgetIdle(nowMs: number): void {
    for (const [account, state] of this.accounts) {
      if (state.held <= 0 && nowMs - state.lastOfferMs > IDLE_MS) {
        this.accounts.delete(account);
      }
    }
  }

  private stateOf(account: string): AccountState {
    let state = this.accounts.get(account);
    if (!state) {
      const pacer = new ReturnPacer(this.random);
      state = new AccountState(this.settingsOf(account), pacer);
      this.accounts.set(account, state);
      if (this.dueMs === Infinity) this.dueMs = this.lastSentMs;
    }
    return state;
  }

  private settingsOf(account: string): Partial<AccountSettings> {
    return this.settings[account] ?? UNKNOWN_ACCOUNT;
  }
}

/** Whether the demand may exceed what the host keeps without a message. */
function isNotable(
  {settings}: AccountState,
  demand: Demand,
  hostCount: number,
): boolean {
  const {requestsPerSecond, tokensPerSecond, concurrentRequests} = settings;
  const exceeds = (kind: DemandKind, limit = Infinity) =>
    demand[kind] > (NOTABLE_PART * limit) / hostCount;
  return (
    exceeds(DemandKind.REQUESTS, requestsPerSecond) ||
    exceeds(DemandKind.TOKENS, tokensPerSecond) ||
    exceeds(DemandKind.CONCURRENT, concurrentRequests)
  );
}

function toDemand(state: AccountState, nowMs: number): Demand {
  return {
    [DemandKind.REQUESTS]: state.requestDemand.perSecond(nowMs),
    [DemandKind.TOKENS]: state.tokenDemand.perSecond(nowMs),
    [DemandKind.CONCURRENT]: state.held + state.refusedDemand.perSecond(nowMs),
  };
}
