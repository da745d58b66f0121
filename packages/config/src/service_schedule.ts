import type {RevisionDigest} from '@parsleywood/schema/configuration';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import type {ConfigurationAction} from './configuration_action.js';
import {ConfigurationActionKind} from './configuration_action_kind.js';
import type {ConfigurationProblem} from './configuration_problem.js';
import {ConfigurationProblemKind} from './configuration_problem_kind.js';
import {drawBelow} from './draw_below.js';
import {KeySchedule} from './key_schedule.js';

/** A starting host reads the host list within this time, in milliseconds. */
const HOST_LIST_READ_JITTER_MS = 300;
/** A starting host waits this long for its peers' values, in milliseconds. */
const PEER_VALUES_WAIT_MS = 4_000;
const PEER_VALUES_WAIT_JITTER_MS = 2_000;
/** Silence of the service that operators are told of, in milliseconds. */
const SILENCE_ALARM_AFTER_MS = 60_000;

/** When one host calls the configuration service, and how fresh its word is. */
export class ServiceSchedule {
  private readonly schedules: ReadonlyMap<string, KeySchedule>;
  private readonly staleProblems = new Map<string, ConfigurationProblem>();
  private silenceProblem: ConfigurationProblem | undefined;
  private startedAtMs = 0;

  /**
   * @param keys All keys that the host follows.
   * @param hostListKey The one that a starting host reads to find its peers.
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

  /** Milliseconds since the confirmation of each key. */
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

  /** Takes the revision that the service answered with. */
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
      message: `the service serves ${key} at ${revision}, held is ${latestRevision}`,
    };
    this.staleProblems.set(key, problem);
    return [{kind: ConfigurationActionKind.ALARM, problem}];
  }

  /** Takes a peer's word of what the service confirmed to it. */
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

  /** Takes the calls that are due. */
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
      message: `the service has not confirmed every key for ${SILENCE_ALARM_AFTER_MS} ms`,
    };
    return [
      {kind: ConfigurationActionKind.ALARM, problem: this.silenceProblem},
    ];
  }
}
