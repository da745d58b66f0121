import type {RevisionDigest} from '@parsleywood/schema/configuration';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {ConfigurationAction} from './configuration_action.js';
import {ConfigurationActionKind} from './configuration_action_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import {ConfigurationProblemKind} from './configuration_problem_kind.js';
import {drawBelow} from './draw_below.js';
import {KeySchedule} from './key_schedule.js';

/** Largest random delay before a starting host reads the host list. */
const HOST_LIST_READ_JITTER_MS = 300;
/**
 * A starting host first waits this long for its peers' values of other keys.
 */
const PEER_VALUES_WAIT_MS = 4_000;
/** Largest random addition to that wait. */
const PEER_VALUES_WAIT_JITTER_MS = 2_000;
/** Operators are alerted when a key has had no confirmation for this long. */
const SILENCE_ALARM_AFTER_MS = 60_000;

/**
 * Decides when this host calls the configuration service, and tracks how
 * recently the service confirmed each key.
 */
export class ServiceSchedule {
  private readonly schedules: ReadonlyMap<string, KeySchedule>;
  private readonly staleProblems = new Map<string, ConfigurationProblem>();
  private silenceProblem: ConfigurationProblem | undefined;
  private startedAtMs = 0;

  /**
   * @param keys All keys that this host follows.
   * @param hostListKey The key that a starting host reads first, to find its
   *     peers.
   */
  constructor(
    keys: readonly string[],
    private readonly hostListKey: string,
    private readonly random: RandomGenerator,
  ) {
    this.schedules = new Map(keys.map(key => [key, new KeySchedule(random)]));
  }

  start(nowMs: number): void {
    this.startedAtMs = nowMs;
    for (const [key, schedule] of this.schedules) {
      const isHostList = key === this.hostListKey;
      const waitMs = isHostList ? 0 : PEER_VALUES_WAIT_MS;
      const jitterMs = isHostList
        ? HOST_LIST_READ_JITTER_MS
        : PEER_VALUES_WAIT_JITTER_MS;
      schedule.start(nowMs + waitMs + drawBelow(this.random, jitterMs));
    }
  }

  follows(key: string): boolean {
    return this.schedules.has(key);
  }

  problems(): ConfigurationProblem[] {
    return [
      ...this.staleProblems.values(),
      ...(this.silenceProblem ? [this.silenceProblem] : []),
    ];
  }

  /**
   * Milliseconds since the last confirmation of each key; Infinity for none.
   */
  confirmedAgesMs(nowMs: number): ReadonlyMap<string, number> {
    return new Map(
      [...this.schedules].map(([key, schedule]) => [
        key,
        schedule.confirmedAgeMs(nowMs),
      ]),
    );
  }

  setWatchers(isWatcher: (key: string) => boolean, nowMs: number): void {
    for (const [key, schedule] of this.schedules) {
      schedule.setWatcher(isWatcher(key), nowMs);
    }
  }

  recordFailure(key: string, nowMs: number): void {
    this.schedules.get(key)?.recordFailure(nowMs);
  }

  /**
   * Records the revision that the service answered with.
   *
   * @param latestRevision The highest revision that this host holds.
   * @return An alarm when the service starts to return an older revision.
   */
  recordAnswer(
    key: string,
    revision: number,
    latestRevision: number,
    nowMs: number,
  ): ConfigurationAction[] {
    const schedule = this.schedules.get(key);
    if (!schedule) return [];
    if (revision >= latestRevision) {
      schedule.recordSuccess();
      schedule.recordConfirmation(nowMs);
      this.staleProblems.delete(key);
      return [];
    }
    schedule.recordFailure(nowMs);
    if (this.staleProblems.has(key)) return [];
    const problem = {
      kind: ConfigurationProblemKind.SERVICE_STALE,
      revisions: {[key]: revision},
      message: `the configuration service returned ${key} at revision ${revision}, older than the known revision ${latestRevision}`,
    };
    this.staleProblems.set(key, problem);
    return [{kind: ConfigurationActionKind.RAISE_ALARM, problem}];
  }

  /** Records the confirmations by the service that a peer reports. */
  recordPeerConfirmations(
    digest: RevisionDigest,
    latestRevision: (key: string) => number,
    nowMs: number,
  ): void {
    for (const {key, latest, confirmedAgeMs} of digest.revisions) {
      if (confirmedAgeMs === undefined || latest !== latestRevision(key)) {
        continue;
      }
      this.schedules.get(key)?.recordConfirmation(nowMs - confirmedAgeMs);
    }
  }

  wakeAtMs(isStartupDone: boolean, hasPeers: boolean): number {
    const dueTimesMs = [...this.schedules]
      .filter(([key]) => this.isCallAllowed(key, isStartupDone, hasPeers))
      .map(([, schedule]) => schedule.dueAtMs());
    return Math.min(Infinity, ...dueTimesMs);
  }

  /** Starts the calls that are due, and checks the service for silence. */
  startDueCalls(
    isStartupDone: boolean,
    hasPeers: boolean,
    latestRevision: (key: string) => number,
    nowMs: number,
  ): ConfigurationAction[] {
    const actions: ConfigurationAction[] = [];
    for (const [key, schedule] of this.schedules) {
      if (!this.isCallAllowed(key, isStartupDone, hasPeers)) continue;
      const waitMs = schedule.startDueCall(nowMs);
      if (waitMs === undefined) continue;
      const afterRevision = latestRevision(key);
      actions.push(
        waitMs > 0
          ? {kind: ConfigurationActionKind.WATCH, key, afterRevision, waitMs}
          : {kind: ConfigurationActionKind.READ, key},
      );
    }
    return [...actions, ...this.checkSilence(nowMs)];
  }

  private isCallAllowed(
    key: string,
    isStartupDone: boolean,
    hasPeers: boolean,
  ): boolean {
    return isStartupDone || (key === this.hostListKey && !hasPeers);
  }

  private checkSilence(nowMs: number): ConfigurationAction[] {
    const sinceMs = Math.min(
      nowMs - this.startedAtMs,
      Math.max(...this.confirmedAgesMs(nowMs).values()),
    );
    if (sinceMs < SILENCE_ALARM_AFTER_MS) {
      this.silenceProblem = undefined;
      return [];
    }
    if (this.silenceProblem) return [];
    this.silenceProblem = {
      kind: ConfigurationProblemKind.SERVICE_SILENT,
      revisions: {},
      message: `the configuration service has not confirmed every key within the last ${SILENCE_ALARM_AFTER_MS} ms`,
    };
    return [
      {kind: ConfigurationActionKind.RAISE_ALARM, problem: this.silenceProblem},
    ];
  }
}
