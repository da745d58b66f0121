import type {SpreadAction} from './spread_action.js';
import {SpreadActionKind} from './spread_action_kind.js';
import type {EngineLease} from './engine_lease.js';
import type {SpreadLayout} from './spread_layout.js';

/** Renewals within one lease. */
const RENEWALS_PER_LEASE = 3;

/** One try to lease memory on all engines of a layout, in its order. */
export class SpreadReservation {
  /** In the order of the layout; the last may be unanswered. */
  private readonly leases: EngineLease[] = [];
  /** Monotonic time at which an engine without room is asked again. */
  private retryAtMs = -Infinity;

  /**
   * @param name Name of the reservation, unique among all hosts.
   * @param abandonAtMs Monotonic time at which a partial one is given up.
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

  /** Engines asked, whether or not they have answered. */
  get requestedCount(): number {
    return this.leases.length;
  }

  /** Whether every engine has been asked. */
  get isFullyRequested(): boolean {
    return this.leases.length === this.layout.engines.length;
  }

  /** Whether the last engine asked has not answered. */
  get isPending(): boolean {
    const last = this.leases[this.leases.length - 1];
    return last !== undefined && last.heldUntilMs === undefined;
  }

  has(engine: string): boolean {
    return this.leases.some(lease => lease.engine === engine);
  }

  /** Whether the engine has once said that it holds the memory. */
  isConfirmedBy(engine: string): boolean {
    return this.leases.some(
      lease => lease.engine === engine && lease.heldUntilMs !== undefined,
    );
  }

  /** Whether each engine asked surely holds the memory now. */
  areLeasesValid(nowMs: number): boolean {
    return this.leases.every(
      ({heldUntilMs}) => nowMs < (heldUntilMs ?? -Infinity),
    );
  }

  /** Whether the last engine asked took too long to answer. */
  isAnswerOverdue(nowMs: number): boolean {
    const last = this.leases[this.leases.length - 1];
    return (
      last !== undefined &&
      last.heldUntilMs === undefined &&
      nowMs >= last.askedMs + this.answerTimeoutMs
    );
  }

  canRequestNext(nowMs: number): boolean {
    return !this.isPending && !this.isFullyRequested && nowMs >= this.retryAtMs;
  }

  /** Asks the next engine of the layout. */
  requestNext(nowMs: number): SpreadAction[] {
    const engine = this.layout.engines[this.leases.length];
    if (engine === undefined) return [];
    const lease = {engine, askedMs: nowMs};
    this.leases.push(lease);
    return [this.createReserveAction(lease)];
  }

  /** Takes an engine's word that it holds the memory. */
  confirm(engine: string, askedMs: number): void {
    const lease = this.leases.find(lease => lease.engine === engine);
    if (!lease) return;
    const untilMs = askedMs + this.leaseMs;
    lease.heldUntilMs = Math.max(lease.heldUntilMs ?? -Infinity, untilMs);
  }

  /** Forgets the last engine asked, to ask it again later. */
  retryLast(atMs: number): void {
    this.leases.pop();
    this.retryAtMs = atMs;
  }

  /** Asks for longer leases where they are due. */
  renewLeases(nowMs: number): SpreadAction[] {
    const due = this.leases.filter(
      ({heldUntilMs, askedMs}) =>
        heldUntilMs !== undefined &&
        nowMs >= askedMs + this.leaseMs / RENEWALS_PER_LEASE,
    );
    for (const lease of due) lease.askedMs = nowMs;
    return due.map(lease => this.createReserveAction(lease));
  }

  /** Gives back the memory of each engine asked. */
  release(): SpreadAction[] {
    const released = this.leases.splice(0);
    return released.map(({engine}) => ({
      kind: SpreadActionKind.RELEASE,
      id: this.id,
      reservation: this.name,
      engine,
    }));
  }

  /** Monotonic time at which something is due for an engine asked. */
  findLeaseDueTimeMs(): number {
    let dueMs = Infinity;
    for (const {askedMs, heldUntilMs} of this.leases) {
      const waitMs =
        heldUntilMs === undefined
          ? this.answerTimeoutMs
          : this.leaseMs / RENEWALS_PER_LEASE;
      dueMs = Math.min(dueMs, askedMs + waitMs, heldUntilMs ?? Infinity);
    }
    return dueMs;
  }

  /** Monotonic time at which something is due before the start. */
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
      askedMs: lease.askedMs,
    };
  }
}
