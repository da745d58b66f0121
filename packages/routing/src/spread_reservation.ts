import type {EngineLease} from './engine_lease.js';
import type {SpreadAction} from './spread_action.js';
import {SpreadActionKind} from './spread_action_kind.js';
import type {SpreadLayout} from './spread_layout.js';

/** Number of renewals per lease duration. */
const RENEWALS_PER_LEASE = 3;

/** One try to reserve memory on all engines of a layout, in its order. */
export class SpreadReservation {
  /**
   * Requested leases in the order of the layout; only the last can be
   * unconfirmed.
   */
  private readonly leases: EngineLease[] = [];
  /**
   * Monotonic time at which an engine without enough free memory is asked
   * again.
   */
  private retryAtMs = -Infinity;

  /**
   * @param name Name of the reservation, unique among all hosts.
   * @param abandonAtMs Monotonic time from which a partial reservation is
   *   released.
   */
  constructor(
    readonly name: string,
    private readonly id: string,
    private readonly layout: SpreadLayout,
    private readonly leaseMs: number,
    private readonly answerTimeoutMs: number,
    readonly abandonAtMs: number,
  ) {}

  get engines(): readonly string[] {
    return this.layout.engines;
  }

  /**
   * Number of engines that have been asked, whether or not they have answered.
   */
  get requestedCount(): number {
    return this.leases.length;
  }

  /** Whether every engine has been asked. */
  get isFullyRequested(): boolean {
    return this.leases.length === this.layout.engines.length;
  }

  /** Whether the last engine that was asked has not answered yet. */
  get isPending(): boolean {
    const last = this.leases[this.leases.length - 1];
    return last !== undefined && last.heldUntilMs === undefined;
  }

  has(engine: string): boolean {
    return this.leases.some(lease => lease.engine === engine);
  }

  /**
   * Whether the engine has confirmed the lease, which can have expired since.
   */
  isConfirmedBy(engine: string): boolean {
    return this.leases.some(
      lease => lease.engine === engine && lease.heldUntilMs !== undefined,
    );
  }

  /**
   * Whether the leases on all engines that were asked are certainly valid now.
   */
  areLeasesValid(nowMs: number): boolean {
    return this.leases.every(
      ({heldUntilMs}) => nowMs < (heldUntilMs ?? -Infinity),
    );
  }

  /**
   * Whether the last engine that was asked has not answered within the timeout.
   */
  isAnswerOverdue(nowMs: number): boolean {
    const last = this.leases[this.leases.length - 1];
    return (
      last !== undefined &&
      last.heldUntilMs === undefined &&
      nowMs >= last.requestedAtMs + this.answerTimeoutMs
    );
  }

  canRequestNext(nowMs: number): boolean {
    return !this.isPending && !this.isFullyRequested && nowMs >= this.retryAtMs;
  }

  /** Requests a lease from the next engine of the layout. */
  requestNext(nowMs: number): SpreadAction[] {
    const engine = this.layout.engines[this.leases.length];
    if (engine === undefined) return [];
    const lease = {engine, requestedAtMs: nowMs};
    this.leases.push(lease);
    return [this.createReserveAction(lease)];
  }

  /** Records that an engine has confirmed the lease requested at `requestedAtMs`. */
  confirm(engine: string, requestedAtMs: number): void {
    const lease = this.leases.find(lease => lease.engine === engine);
    if (!lease) return;
    const untilMs = requestedAtMs + this.leaseMs;
    lease.heldUntilMs = Math.max(lease.heldUntilMs ?? -Infinity, untilMs);
  }

  /** Drops the request to the last engine, to repeat it at `atMs`. */
  retryLast(atMs: number): void {
    this.leases.pop();
    this.retryAtMs = atMs;
  }

  /** Renews the leases that are due for renewal. */
  renewLeases(nowMs: number): SpreadAction[] {
    const due = this.leases.filter(
      ({heldUntilMs, requestedAtMs}) =>
        heldUntilMs !== undefined &&
        nowMs >= requestedAtMs + this.leaseMs / RENEWALS_PER_LEASE,
    );
    for (const lease of due) lease.requestedAtMs = nowMs;
    return due.map(lease => this.createReserveAction(lease));
  }

  /** Releases the memory on each engine that was asked. */
  release(): SpreadAction[] {
    const released = this.leases.splice(0);
    return released.map(({engine}) => ({
      kind: SpreadActionKind.RELEASE,
      id: this.id,
      reservation: this.name,
      engine,
    }));
  }

  /**
   * Monotonic time of the next answer timeout, lease renewal or lease expiry.
   */
  findLeaseDueTimeMs(): number {
    let dueMs = Infinity;
    for (const {requestedAtMs, heldUntilMs} of this.leases) {
      const waitMs =
        heldUntilMs === undefined
          ? this.answerTimeoutMs
          : this.leaseMs / RENEWALS_PER_LEASE;
      dueMs = Math.min(dueMs, requestedAtMs + waitMs, heldUntilMs ?? Infinity);
    }
    return dueMs;
  }

  /** Monotonic time of the next step before the run starts. */
  findDueTimeMs(): number {
    const dueMs = this.findLeaseDueTimeMs();
    if (this.isPending) return dueMs;
    return Math.min(dueMs, this.abandonAtMs, this.retryAtMs);
  }

  private createReserveAction(lease: EngineLease): SpreadAction {
    return {
      kind: SpreadActionKind.RESERVE,
      id: this.id,
      reservation: this.name,
      engine: lease.engine,
      tokens: this.layout.tokensPerEngine,
      leaseMs: this.leaseMs,
      requestedAtMs: lease.requestedAtMs,
    };
  }
}
