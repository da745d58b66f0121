import type {OrderState, OrderStateQuery} from '@parsleywood/schema/orders';
import type {Incarnation} from '@parsleywood/types';
import type {Activation} from './activation.js';
import type {ClaimTable} from './claim_table.js';
import {decideViewChangeActivation} from './decide_view_change_activation.js';
import type {CrashVector} from './crash_vector.js';
import type {MemberState} from './member_state.js';
import type {OrderBounds} from './order_bounds.js';
import type {Outbox} from './outbox.js';
import {readMemberState} from './read_member_state.js';
import {decideStartActivation} from './decide_start_activation.js';
import {Resignations} from './resignations.js';
import {Safeguard} from './safeguard.js';
import {StateParts} from './state_parts.js';
import {View} from './view.js';

/**
 * Claim timeouts that a host waits for members with claim records before it
 * proceeds without those that lost theirs.
 */
const RECOVERY_WAIT_CLAIM_TIMEOUTS = 3;
const QUERY_RETRY_MIN_MS = 100;
const QUERY_RETRY_MAX_MS = 2_000;
const RECORDS_PER_PART = 2_000;
const RESIGN_SENDS = 5;
const RESIGN_INTERVAL_MS = 100;

/**
 * Moves a witness from view to view: recovers the claim records that it needs
 * and decides whether it may vote in the current view.
 */
export class Recovery {
  private current: View | undefined;
  private complete = false;
  private activeView = 0;
  private history: View[] = [];
  private coveredFromMs = 0;
  private formation: Activation['formation'];
  private readonly resignations: Resignations;
  private replies = new Map<string, MemberState>();
  private readonly parts = new StateParts();
  private enteredAtMs = 0;
  private round = 0;
  private serial = 0;
  private queryRetryMs = QUERY_RETRY_MIN_MS;
  private nextSendAtMs = Infinity;
  private resignSendsLeft = 0;
  private isResigning = false;

  constructor(
    private readonly self: Incarnation,
    private readonly table: ClaimTable,
    private readonly crashVector: CrashVector,
    private readonly outbox: Outbox,
    private readonly bounds: OrderBounds,
    private readonly disabled: ReadonlySet<Safeguard>,
  ) {
    crashVector.observe(self.host, self.id);
    this.resignations = new Resignations(crashVector);
  }

  get view(): View | undefined {
    return this.current;
  }

  /**
   * Wall-clock time in milliseconds. Claims on keys first used earlier may be
   * missing in the claim records of this host.
   */
  get memoryFromMs(): number {
    return this.coveredFromMs;
  }

  hasClaimRecords(): boolean {
    return this.complete;
  }

  /** Whether this host may vote in its current view. */
  mayVote(): boolean {
    return (
      this.complete &&
      !this.isResigning &&
      this.activeView === this.current?.number &&
      this.current.has(this.self.host) &&
      this.crashVector.isCurrent(this.self.host, this.self.id)
    );
  }

  /**
   * Enters a newer view. The host never votes in the previous one again.
   *
   * @return Whether the view was newer than the current one.
   */
  enterView(view: View, nowMs: number): boolean {
    if (this.current && view.number <= this.current.number) return false;
    this.current = view;
    this.enteredAtMs = nowMs;
    this.history = this.complete ? [...this.history, view] : [view];
    this.startRound();
    this.queryRetryMs = QUERY_RETRY_MIN_MS;
    this.tryActivate(nowMs);
    this.queryPeers(nowMs);
    return true;
  }

  handleQuery(
    from: string,
    incarnation: string,
    query: OrderStateQuery,
    nowMs: number,
  ): void {
    if (query.view) this.enterView(View.fromMessage(query.view), nowMs);
    this.sendState(from, incarnation, query.round, query.base);
  }

  handleState(
    from: string,
    incarnation: string,
    state: OrderState,
    nowMs: number,
  ): void {
    for (const record of state.records) this.table.mergePeerRecord(record);
    this.crashVector.merge(state.crashVector);
    if (state.view) this.enterView(View.fromMessage(state.view), nowMs);
    if (!this.parts.add(from, incarnation, state)) return;
    this.resignations.merge(state);
    const isRequested =
      state.asker === this.self.id && state.round === this.round;
    if (isRequested && state.view) {
      this.replies.set(from, readMemberState(incarnation, state));
    }
    this.tryActivate(nowMs);
  }

  /** Queries a host that is in a newer view, to learn that view. */
  requestView(host: string): void {
    if (!this.current) return;
    this.sendQuery(host, this.current);
  }

  /**
   * Stops voting and sends the claim records to the other members. Sends them
   * several times, because a message can be lost.
   */
  resign(nowMs: number): void {
    if (this.isResigning) return;
    this.isResigning = true;
    if (!this.complete) return;
    const {host, id} = this.self;
    this.resignations.add({host, incarnation: id});
    this.resignSendsLeft = RESIGN_SENDS;
    this.wake(nowMs);
  }

  wake(nowMs: number): void {
    if (nowMs < this.wakeAtMs()) return;
    if (this.resignSendsLeft > 0) {
      this.resignSendsLeft--;
      this.nextSendAtMs = nowMs + RESIGN_INTERVAL_MS;
      for (const host of this.listPeers()) this.sendState(host, '', 0, 0);
      if (this.resignSendsLeft === 0) this.nextSendAtMs = Infinity;
      return;
    }
    this.queryPeers(nowMs);
  }

  wakeAtMs(): number {
    return this.resignSendsLeft > 0 && this.nextSendAtMs === Infinity
      ? 0
      : this.nextSendAtMs;
  }

  private isActive(): boolean {
    return this.complete && this.activeView === this.current?.number;
  }

  private startRound(): void {
    this.round++;
    this.replies = new Map();
  }

  private queryPeers(nowMs: number): void {
    if (!this.current || this.isActive()) {
      this.nextSendAtMs = Infinity;
      return;
    }
    for (const host of this.listPeers()) {
      if (!this.hasFinalReply(host)) this.sendQuery(host, this.current);
    }
    this.nextSendAtMs = nowMs + this.queryRetryMs;
    this.queryRetryMs = Math.min(2 * this.queryRetryMs, QUERY_RETRY_MAX_MS);
  }

  /** Whether a host replied as active in this view, so needs no new query. */
  private hasFinalReply(host: string): boolean {
    const reply = this.replies.get(host);
    return (
      reply !== undefined &&
      this.crashVector.isCurrent(host, reply.incarnation) &&
      reply.activeView === this.current?.number
    );
  }

  /** Lists the members of the current view and of the views to be closed. */
  private listPeers(): string[] {
    const peers = new Set(this.history.flatMap(({members}) => members));
    for (const {history} of this.replies.values()) {
      for (const {members} of history) {
        for (const host of members) peers.add(host);
      }
    }
    peers.delete(this.self.host);
    return [...peers];
  }

  private sendQuery(host: string, view: View): void {
    const base = this.complete ? this.activeView : 0;
    this.outbox.send(host, {
      $case: 'stateQuery',
      value: {view: view.toMessage(), round: this.round, base},
    });
  }

  private sendState(
    to: string,
    asker: string,
    round: number,
    base: number,
  ): void {
    this.serial++;
    const records = this.complete ? this.table.listSince(base) : [];
    const parts = Math.max(1, Math.ceil(records.length / RECORDS_PER_PART));
    for (let part = 0; part < parts; part++) {
      const from = part * RECORDS_PER_PART;
      const value: OrderState = {
        round,
        part,
        parts,
        view: this.current?.toMessage(),
        complete: this.complete,
        activeView: this.activeView,
        history: this.history.map(view => view.toMessage()),
        records: records.slice(from, from + RECORDS_PER_PART),
        crashVector: this.crashVector.toEntries(),
        memoryFromMs: this.computeMemoryFromMs(),
        formation: this.formation,
        resigned: this.complete ? this.resignations.list() : [],
        asker,
        serial: this.serial,
      };
      this.outbox.send(to, {$case: 'state', value});
    }
  }

  /**
   * Computes the start of the period that the claim records cover, including
   * those of resigned hosts.
   */
  private computeMemoryFromMs(): number {
    return Math.max(this.coveredFromMs, this.resignations.memoryFromMs);
  }

  private tryActivate(nowMs: number): void {
    if (!this.current || this.isActive()) return;
    const activation = this.decideActivation(this.current, nowMs);
    if (!activation) return;
    this.complete = true;
    this.activeView = this.current.number;
    this.history = [this.current];
    this.coveredFromMs = activation.memoryFromMs;
    this.formation = activation.formation;
    this.crashVector.merge(activation.formation?.members ?? []);
    this.nextSendAtMs = Infinity;
  }

  private decideActivation(view: View, nowMs: number): Activation | undefined {
    const recoveryWaitMs =
      RECOVERY_WAIT_CLAIM_TIMEOUTS * this.bounds.claimTimeoutMs;
    const progress = {
      self: this.self,
      view,
      complete: this.complete,
      activeView: this.activeView,
      history: this.history,
      memoryFromMs: this.computeMemoryFromMs(),
      resignations: this.resignations,
      waitExpired: nowMs - this.enteredAtMs >= recoveryWaitMs,
      crashVector: this.crashVector,
      replies: this.replies,
    };
    if (this.complete) {
      return this.disabled.has(Safeguard.VIEW_CLOSURE)
        ? {memoryFromMs: this.coveredFromMs}
        : decideViewChangeActivation(progress);
    }
    if (this.disabled.has(Safeguard.RECOVERY)) return {memoryFromMs: 0};
    return view.has(this.self.host)
      ? decideStartActivation(progress)
      : undefined;
  }
}
