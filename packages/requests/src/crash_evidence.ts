import {AnswerWeights} from './answer_weights.js';
import {areEqualSets} from './are_equal_sets.js';
import type {CompleteRun} from './complete_run.js';
import {countCauses} from './count_causes.js';
import {CrashProofs} from './crash_proofs.js';
import {countRequests} from './count_requests.js';
import {groupByAttempts} from './group_by_attempts.js';
import {hasAll} from './has_all.js';
import {joinReports} from './join_reports.js';
import type {JoinedCrash} from './joined_crash.js';
import {listTraits} from './list_traits.js';
import type {RequestTraits} from './request_traits.js';
import type {TraitCandidate} from './trait_candidate.js';
import type {TraitCrash} from './trait_crash.js';
import type {TraitSuspicion} from './trait_suspicion.js';

const CRASH_TTL_MS = 60_000;
const MAX_CRASHES = 1_024;
/** Bounds the memory and the time of an assessment where prompts have many parts. */
const MAX_CRASH_TRAITS = 32_768;
const MAX_RUNS = 512;
/** Crashes from which traits are suspected. */
const MIN_CRASHES = 3;
/** Different requests under which a part crashed upstreams, before it is suspected. */
const MIN_REQUESTS = 3;
/** Different requests under which crashes have no other cause, for a proof. */
const MIN_PROOFS = 2;
/**
 * Requests that it takes to explain crashes without a part of prompts, for a proof
 * against the part: as many requests as that seldom crash upstreams for reasons of
 * their own.
 */
const MIN_CAUSES = 3;
/** Crashes that confirm a suspicion although other traits may be the cause. */
const MAX_UNPROVEN_CRASHES = 5;
/** Time in which the reports of all hosts on a crash arrive. */
const SETTLE_MS = 80;
/** Attempts that were started within this time count as simultaneous. */
const SIMULTANEOUS_MS = 500;

/**
 * Finds the traits of requests that crash upstreams, among those that only occur
 * beside them.
 *
 * A crash may be explained by each trait of each request that ran on the upstream,
 * unless another request with the trait was started as late and completed its
 * answer. The trait that explains most crashes, compared with the answers that it
 * was part of lately, is taken first, and its crashes are explained; the others
 * have to account for the rest. A request that comes again explains its crashes as well
 * as its traits do.
 */
export class CrashEvidence {
  private crashes: TraitCrash[] = [];
  /** Traits of these crashes. */
  private crashTraits: ReadonlySet<string> = new Set();
  private lastCrashAtMs = -Infinity;
  /** Latest complete answers to requests that have traits of these crashes. */
  private runs: CompleteRun[] = [];
  private runTraits = 0;
  private readonly answers = new AnswerWeights();

  /** Records what a host saw of a crash. */
  recordCrash(crash: TraitCrash, nowMs: number): void {
    this.crashes = listLatest([...this.listRecent(nowMs), crash]);
    this.crashTraits = new Set(this.crashes.flatMap(listTraits));
    this.lastCrashAtMs = Math.max(this.lastCrashAtMs, crash.crashedAtMs);
  }

  /**
   * Records a complete answer of this host or of another one.
   *
   * @param weight Number of answers that it stands for; 0 for one of another host.
   */
  recordAnswer(
    traits: RequestTraits,
    startedAtMs: number,
    weight: number,
    nowMs: number,
  ): void {
    const names = listTraits(traits);
    for (const trait of names) {
      this.answers.record(trait, startedAtMs, weight, nowMs);
    }
    if (!this.mayExplain(traits, nowMs)) return;
    this.runs.push({startedAtMs, traits: new Set(names)});
    this.runTraits += names.length;
    while (this.runTraits > MAX_CRASH_TRAITS || this.runs.length > MAX_RUNS) {
      this.runTraits -= this.runs.shift()?.traits.size ?? 0;
    }
  }

  /** Whether a request with the trait got its whole answer at some time. */
  wasAnswered(trait: string): boolean {
    return this.answers.getLastStartMs(trait) > -Infinity;
  }

  /**
   * Whether a request with all traits of a group got its whole answer, in an attempt
   * that was started after others under which upstreams crashed, and too few upstreams
   * crashed since to hold that the group has turned bad.
   */
  isContradicted(group: readonly string[]): boolean {
    const runs = this.runs.filter(({traits}) => hasAll(traits, group));
    const lastMs = Math.max(...runs.map(({startedAtMs}) => startedAtMs));
    const reports = this.crashes.filter(crash =>
      hasAll(new Set(listTraits(crash)), group),
    );
    const later = reports.filter(
      ({startedAtMs}) => startedAtMs > lastMs + SIMULTANEOUS_MS,
    );
    return (
      reports.some(({startedAtMs}) => startedAtMs < lastMs) &&
      joinReports(later).length < MIN_CRASHES
    );
  }

  /** Whether a recent crash may be explained by one of these traits. */
  mayExplain(traits: RequestTraits, nowMs: number): boolean {
    if (nowMs - this.lastCrashAtMs >= CRASH_TTL_MS) return false;
    return listTraits(traits).some(trait => this.crashTraits.has(trait));
  }

  /** Returns what recent crashes prove. */
  findProofs(nowMs: number): CrashProofs {
    return new CrashProofs(this.listRecent(nowMs), nowMs);
  }

  /**
   * Lists the traits that explain crashes, the most suspect ones first.
   *
   * @param blocked Traits that are known to crash upstreams; the crashes of requests
   *     with them are explained.
   */
  assess(blocked: ReadonlySet<string>, nowMs: number): TraitSuspicion[] {
    const unexplained = new Set(
      joinReports(this.listRecent(nowMs)).filter(
        ({reports, atMs}) =>
          nowMs - atMs >= SETTLE_MS &&
          !reports.some(report =>
            listTraits(report).some(trait => blocked.has(trait)),
          ),
      ),
    );
    const candidates = this.listCandidates(unexplained, nowMs);
    const found: TraitSuspicion[] = [];
    for (;;) {
      const [best] = candidates.filter(isSuspect).sort(compareCandidates);
      if (best === undefined) return found;
      const equals = candidates.filter(
        one =>
          one.answers <= best.answers &&
          areEqualSets(one.crashes, best.crashes),
      );
      const groups = groupByAttempts(equals);
      // One request that comes again is blocked as such.
      const isRequest = equals.some(({isTrait}) => !isTrait);
      for (const traits of isRequest ? [] : groups) {
        // Requests that ran beside the cause at each crash are told apart by a trial.
        found.push(this.describe(best, traits, groups.length === 1));
      }
      const explained = [...best.crashes];
      for (const {crashes} of candidates) {
        for (const crash of explained) crashes.delete(crash);
      }
    }
  }

  private describe(
    candidate: TraitCandidate,
    traits: readonly string[],
    isUnambiguous: boolean,
  ): TraitSuspicion {
    const crashes = candidate.crashes.size;
    const isCertain = this.hasNoOtherCauses(candidate, traits)
      ? hasRecurred(candidate, 0)
      : crashes >= MAX_UNPROVEN_CRASHES &&
        hasRecurred(candidate, SIMULTANEOUS_MS);
    const isConfirmed = isUnambiguous && isCertain;
    return {traits, crashes, isConfirmed};
  }

  private listRecent(nowMs: number): TraitCrash[] {
    return this.crashes.filter(
      ({crashedAtMs}) => nowMs - crashedAtMs < CRASH_TTL_MS,
    );
  }

  private listCandidates(
    crashes: ReadonlySet<JoinedCrash>,
    nowMs: number,
  ): TraitCandidate[] {
    const byName = new Map<string, TraitCandidate>();
    for (const crash of crashes) {
      for (const report of crash.reports) {
        const {request, scopes, startedAtMs} = report;
        for (const [at, name] of [request, ...listTraits(report)].entries()) {
          const answeredAtMs = this.answers.getLastStartMs(name);
          if (startedAtMs <= answeredAtMs + SIMULTANEOUS_MS) continue;
          const candidate = byName.get(name) ?? {
            name,
            isTrait: name !== request,
            isPart: at > scopes.length,
            crashes: new Set(),
            attempts: new Set(),
            answers: this.answers.getWeight(name, nowMs),
          };
          candidate.crashes.add(crash);
          candidate.attempts.add(report);
          byName.set(name, candidate);
        }
      }
    }
    return [...byName.values()];
  }

  /**
   * Whether answers tell that crashes under different requests have no other cause;
   * one request may be the cause itself.
   */
  private hasNoOtherCauses(
    {crashes, isPart}: TraitCandidate,
    group: readonly string[],
  ): boolean {
    const names = new Set(group);
    const unexplained = [...crashes].filter(({reports}) =>
      reports.every(report => this.hasNoOtherCause(report, names)),
    );
    if (isPart) return countCauses(unexplained, MIN_CAUSES) >= MIN_CAUSES;
    return countRequests(group, unexplained) >= MIN_PROOFS;
  }

  /**
   * Whether all that a request is known by is sound, but for a group of traits. One
   * with the group is not known by its narrower scopes, which may be new each time.
   */
  private hasNoOtherCause(
    {parts, scopes}: RequestTraits,
    group: ReadonlySet<string>,
  ): boolean {
    const areSound = parts.every(
      part => group.has(part) || this.wasAnswered(part),
    );
    const [identity] = scopes;
    const isKnown = parts.length > 0 || identity === undefined;
    if (isKnown || [...group].every(trait => scopes.includes(trait))) {
      return areSound;
    }
    return this.wasAnswered(identity);
  }
}

/** Lists the latest crashes that are kept, of those in the order of their news. */
function listLatest(crashes: readonly TraitCrash[]): TraitCrash[] {
  let traits = 0;
  const kept = crashes.toReversed().filter(({scopes, parts}, at) => {
    traits += scopes.length + parts.length;
    return at === 0 || (at < MAX_CRASHES && traits <= MAX_CRASH_TRAITS);
  });
  return kept.reverse();
}

/**
 * Whether a request with the trait was sent after a crash, and crashed again.
 *
 * @param gapMs Time after the first crash within which requests tell nothing.
 */
function hasRecurred({name, crashes}: TraitCandidate, gapMs: number): boolean {
  const firstMs = Math.min(...[...crashes].map(({atMs}) => atMs));
  return [...crashes].some(({reports}) =>
    reports.some(
      report =>
        report.startedAtMs > firstMs + gapMs &&
        listTraits(report).includes(name),
    ),
  );
}

function isSuspect(candidate: TraitCandidate): boolean {
  const {crashes, attempts, answers, isPart} = candidate;
  if (crashes.size < MIN_CRASHES || crashes.size < answers) return false;
  if (!isPart) return true;
  // One or two requests may crash upstreams for reasons of their own.
  const requests = [...attempts].map(it => it.scopes[0] ?? it.request);
  return new Set(requests).size >= MIN_REQUESTS;
}

/** Orders candidates, the same way at all hosts. */
function compareCandidates(
  left: TraitCandidate,
  right: TraitCandidate,
): number {
  const difference = getScore(right) - getScore(left);
  if (difference !== 0) return difference;
  return left.name < right.name ? -1 : 1;
}

function getScore({crashes, answers}: TraitCandidate): number {
  return crashes.size / (1 + answers);
}
