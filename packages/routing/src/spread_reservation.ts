import type {SpreadAction} from './spread_action.js';
import {SpreadActionKind} from './spread_action_kind.js';
import type {SpreadHold} from './spread_hold.js';
import type {SpreadLayout} from './spread_layout.js';

/** Renewals within one lease. */
const RENEWALS = 3;

/** One try to hold memory on all engines of a layout, in its order. */
export class SpreadReservation {
  /** In the order of the layout; the last may be unanswered. */
  private readonly holds: SpreadHold[] = [];
  /** Monotonic time at which an engine without room is asked again. */
  private askAgainAtMs = -Infinity;

  /**
   * @param name Name of the reservation, unique among all hosts.
   * @param giveUpAtMs Monotonic time at which a partial one is given up.
   */
  constructor(
    readonly name: string,
    private readonly id: string,
    private readonly layout: SpreadLayout,
    private readonly leaseMs: number,
    private readonly answerTimeoutMs: number,
    readonly giveUpAtMs: number,
  ) {}

  get engines(): readonly string[] {
    return this.layout.engines;
  }

  /** Engines asked, whether or not they have answered. */
  get size(): number {
    return this.holds.length;
  }

  /** Whether every engine has been asked. */
  get isAsked(): boolean {
    return this.holds.length === this.layout.engines.length;
  }

  /** Whether the last engine asked has not answered. */
  get isAsking(): boolean {
    const last = this.holds[this.holds.length - 1];
    return last !== undefined && last.heldUntilMs === undefined;
  }

  has(engine: string): boolean {
    return this.holds.some(hold => hold.engine === engine);
  }

  /** Whether the engine has once said that it holds the memory. */
  isHeldBy(engine: string): boolean {
    return this.holds.some(
      hold => hold.engine === engine && hold.heldUntilMs !== undefined,
    );
  }

  /** Whether each engine asked surely holds the memory now. */
  isHeld(nowMs: number): boolean {
    return this.holds.every(
      ({heldUntilMs}) => nowMs < (heldUntilMs ?? -Infinity),
    );
  }

  /** Whether the last engine asked took too long to answer. */
  isUnanswered(nowMs: number): boolean {
    const last = this.holds[this.holds.length - 1];
    return (
      last !== undefined &&
      last.heldUntilMs === undefined &&
      nowMs >= last.askedMs + this.answerTimeoutMs
    );
  }

  canAsk(nowMs: number): boolean {
    return !this.isAsking && !this.isAsked && nowMs >= this.askAgainAtMs;
  }

  /** Asks the next engine of the layout. */
  askNext(nowMs: number): SpreadAction[] {
    const engine = this.layout.engines[this.holds.length];
    if (engine === undefined) return [];
    const hold = {engine, askedMs: nowMs};
    this.holds.push(hold);
    return [this.ask(hold)];
  }

  /** Takes an engine's word that it holds the memory. */
  confirm(engine: string, askedMs: number): void {
    const hold = this.holds.find(hold => hold.engine === engine);
    if (!hold) return;
    const untilMs = askedMs + this.leaseMs;
    hold.heldUntilMs = Math.max(hold.heldUntilMs ?? -Infinity, untilMs);
  }

  /** Forgets the last engine asked, to ask it again later. */
  askLastAgain(atMs: number): void {
    this.holds.pop();
    this.askAgainAtMs = atMs;
  }

  /** Asks for longer leases where they are due. */
  renew(nowMs: number): SpreadAction[] {
    const due = this.holds.filter(
      ({heldUntilMs, askedMs}) =>
        heldUntilMs !== undefined && nowMs >= askedMs + this.leaseMs / RENEWALS,
    );
    for (const hold of due) hold.askedMs = nowMs;
    return due.map(hold => this.ask(hold));
  }

  /** Gives back the memory of each engine asked. */
  release(): SpreadAction[] {
    const released = this.holds.splice(0);
    return released.map(({engine}) => ({
      kind: SpreadActionKind.RELEASE,
      id: this.id,
      reservation: this.name,
      engine,
    }));
  }

  /** Monotonic time at which something is due for an engine asked. */
  holdDueAtMs(): number {
    let dueMs = Infinity;
    for (const {askedMs, heldUntilMs} of this.holds) {
      const waitMs =
        heldUntilMs === undefined
          ? this.answerTimeoutMs
          : this.leaseMs / RENEWALS;
      dueMs = Math.min(dueMs, askedMs + waitMs, heldUntilMs ?? Infinity);
    }
    return dueMs;
  }

  /** Monotonic time at which something is due before the start. */
  dueAtMs(): number {
    const dueMs = this.holdDueAtMs();
    if (this.isAsking) return dueMs;
    return Math.min(dueMs, this.giveUpAtMs, this.askAgainAtMs);
  }

  private ask(hold: SpreadHold): SpreadAction {
    return {
      kind: SpreadActionKind.RESERVE,
      id: this.id,
      reservation: this.name,
      engine: hold.engine,
      tokens: this.layout.tokensEach,
      leaseMs: this.leaseMs,
      askedMs: hold.askedMs,
    };
  }
}
