import type {RevisionDigest} from '@parsleywood/schema/configuration';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {ConfigurationAction} from './configuration_action.js';
import {ConfigurationActionKind} from './configuration_action_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import {ConfigurationProblemKind} from './configuration_problem_kind.js';
import {drawBelow} from './draw_below.js';
import {ServiceCall} from './key_schedule.js';

/** A starting host reads the host list within this time, in milliseconds. */
const FIRST_READ_SPREAD_MS = 300;
/** A starting host waits this long for its peers' values, in milliseconds. */
const PEERS_WAIT_MS = 4_000;
const PEERS_SPREAD_MS = 2_000;
/** Silence of the service that operators are told of, in milliseconds. */
const SILENT_AFTER_MS = 60_000;

/** When one host calls the configuration service, and how fresh its word is. */
export class ServicePlan {
  private readonly calls: ReadonlyMap<string, ServiceCall>;
  private readonly stale = new Map<string, ConfigurationProblem>();
  private silent: ConfigurationProblem | undefined;
  private beganMs = 0;

  /**
   * @param keys All keys that the host follows.
   * @param startKey The one that a starting host reads to find its peers.
   */
  constructor(
    keys: readonly string[],
    private readonly startKey: string,
    private readonly random: RandomGenerator,
  ) {
    this.calls = new Map(keys.map(key => [key, new ServiceCall(random)]));
  }

  begin(nowMs: number): void {
    this.beganMs = nowMs;
    for (const [key, call] of this.calls) {
      const isFirst = key === this.startKey;
      const waitMs = isFirst ? 0 : PEERS_WAIT_MS;
      const spreadMs = isFirst ? FIRST_READ_SPREAD_MS : PEERS_SPREAD_MS;
      call.begin(nowMs + waitMs + drawBelow(this.random, spreadMs));
    }
  }

  follows(key: string): boolean {
    return this.calls.has(key);
  }

  problems(): ConfigurationProblem[] {
    return [...this.stale.values(), ...(this.silent ? [this.silent] : [])];
  }

  /** Milliseconds since the confirmation of each key. */
  ages(nowMs: number): ReadonlyMap<string, number> {
    return new Map(
      [...this.calls].map(([key, call]) => [key, call.confirmedAgeMs(nowMs)]),
    );
  }

  setWatchers(isWatcher: (key: string) => boolean, nowMs: number): void {
    for (const [key, call] of this.calls) {
      call.setWatcher(isWatcher(key), nowMs);
    }
  }

  fail(key: string, nowMs: number): void {
    this.calls.get(key)?.fail(nowMs);
  }

  /** Takes the revision that the service answered with. */
  answer(
    key: string,
    revision: number,
    heldRevision: number,
    nowMs: number,
  ): ConfigurationAction[] {
    const call = this.calls.get(key);
    if (!call) return [];
    if (revision >= heldRevision) {
      call.succeed();
      call.confirm(nowMs);
      this.stale.delete(key);
      return [];
    }
    call.fail(nowMs);
    if (this.stale.has(key)) return [];
    const problem = {
      kind: ConfigurationProblemKind.SERVICE_STALE,
      revisions: {[key]: revision},
      message: `the service serves ${key} at ${revision}, held is ${heldRevision}`,
    };
    this.stale.set(key, problem);
    return [{kind: ConfigurationActionKind.ALARM, problem}];
  }

  /** Takes a peer's word of what the service confirmed to it. */
  hear(
    digest: RevisionDigest,
    heldRevision: (key: string) => number,
    nowMs: number,
  ): void {
    for (const {key, latest, confirmedAgeMs} of digest.revisions) {
      if (confirmedAgeMs === undefined || latest !== heldRevision(key)) {
        continue;
      }
      this.calls.get(key)?.confirm(nowMs - confirmedAgeMs);
    }
  }

  wakeAtMs(open: boolean, hasPeers: boolean): number {
    const due = [...this.calls]
      .filter(([key]) => this.mayCall(key, open, hasPeers))
      .map(([, call]) => call.dueAtMs());
    return Math.min(Infinity, ...due);
  }

  /** Takes the calls that are due. */
  takeDue(
    open: boolean,
    hasPeers: boolean,
    heldRevision: (key: string) => number,
    nowMs: number,
  ): ConfigurationAction[] {
    const actions: ConfigurationAction[] = [];
    for (const [key, call] of this.calls) {
      if (!this.mayCall(key, open, hasPeers)) continue;
      const waitMs = call.take(nowMs);
      if (waitMs === undefined) continue;
      const afterRevision = heldRevision(key);
      actions.push(
        waitMs > 0
          ? {kind: ConfigurationActionKind.WATCH, key, afterRevision, waitMs}
          : {kind: ConfigurationActionKind.READ, key},
      );
    }
    return [...actions, ...this.noteSilence(nowMs)];
  }

  private mayCall(key: string, open: boolean, hasPeers: boolean): boolean {
    return open || (key === this.startKey && !hasPeers);
  }

  private noteSilence(nowMs: number): ConfigurationAction[] {
    const sinceMs = Math.min(
      nowMs - this.beganMs,
      Math.max(...this.ages(nowMs).values()),
    );
    if (sinceMs < SILENT_AFTER_MS) {
      this.silent = undefined;
      return [];
    }
    if (this.silent) return [];
    this.silent = {
      kind: ConfigurationProblemKind.SERVICE_SILENT,
      revisions: {},
      message: `the service has not confirmed every key for ${SILENT_AFTER_MS} ms`,
    };
    return [{kind: ConfigurationActionKind.ALARM, problem: this.silent}];
  }
}
