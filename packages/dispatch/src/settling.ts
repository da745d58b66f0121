import type {HeardHost} from './heard_host.js';

/**
 * Time after a start or a hold before what a host knows of the others counts: four
 * heartbeats, or two through relays.
 */
const SETTLE_MS = 1_500;
/** Time after a start in which each host that is heard first defers the use. */
const START_MS = 10_000;
/** Hold of the event loop after which an upstream may have become cold unnoticed. */
const UNNOTICED_MS = 1_000;
/** Time in which what came in during a hold has been read. */
const CATCH_UP_MS = 1_500;

/**
 * Whether a host knows enough of the others after its start, or after its event loop
 * was held up: its view is old then, and what other hosts have told waits unread. Load
 * pattern: hosts that restart or wake from a freeze while upstreams become cold.
 */
export class Settling {
  private heardSinceMs: number | undefined;
  private fromMs: number;
  private caughtUpMs = -Infinity;

  /** @param self IP:port of this host. */
  constructor(
    private readonly self: string,
    private readonly startedAtMs: number,
  ) {
    this.fromMs = startedAtMs;
  }

  /** Time until which no upstream counts as warm, as news of it may wait unread. */
  get doubtUntilMs(): number {
    return this.caughtUpMs;
  }

  /** @param heldMs Time for which the host did not run. */
  recordHold(heldMs: number, nowMs: number): void {
    this.restart(nowMs);
    if (heldMs > UNNOTICED_MS) this.caughtUpMs = nowMs + CATCH_UP_MS;
  }

  /** Applies the hosts that are heard now. */
  recordHosts(
    hosts: readonly HeardHost[],
    hasNewHosts: boolean,
    nowMs: number,
  ): void {
    // A host that has just started hears of the others one after the other.
    if (hasNewHosts && nowMs - this.startedAtMs < START_MS) this.restart(nowMs);
    const {self, fromMs} = this;
    const isHeard = hosts.some(
      ({address, heardAtMs}) => address !== self && heardAtMs > fromMs,
    );
    if (isHeard) this.heardSinceMs ??= nowMs;
  }

  /**
   * Returns when what this host knows counts; while it hears none of the others, that
   * is not known, and the earliest time is returned.
   */
  getEndMs(isAlone: boolean, nowMs: number): number {
    const fromMs = isAlone ? this.fromMs : (this.heardSinceMs ?? nowMs);
    return fromMs + SETTLE_MS;
  }

  private restart(nowMs: number): void {
    this.fromMs = nowMs;
    this.heardSinceMs = undefined;
  }
}
