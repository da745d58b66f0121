import {AnswerWeights} from './answer_weights.js';
import type {TraitCrash} from './trait_crash.js';
import type {TraitSuspicion} from './trait_suspicion.js';

const CRASH_TTL_MS = 60_000;
const MAX_CRASHES = 1_024;
/** Crashes from which parts are suspected. */
const MIN_CRASHES = 3;
/** Crashes that confirm a suspicion although other parts may be the cause. */
const MAX_UNPROVEN_CRASHES = 5;
/** Reports of attempts that ran at a crash arrive within this time. */
const SAME_CRASH_MS = 2_000;
/** Time in which a crashed upstream is not back. */
const MIN_RESTART_MS = 300;
/** Time in which the reports of all hosts on a crash arrive. */
const SETTLE_MS = 80;
/** Attempts that were started within this time count as simultaneous. */
const SIMULTANEOUS_MS = 500;

/** One crash of an upstream, from the reports of all hosts. */
interface Crash {
  readonly reports: TraitCrash[];
  atMs: number;
}

/** A part, or a request as a whole, and the crashes that it may explain. */
interface Candidate {
  readonly name: string;
  readonly isPart: boolean;
  readonly crashes: Set<Crash>;
  /** Prompts with the part under which upstreams crashed. */
  readonly prompts: Set<TraitCrash>;
  readonly answers: number;
}

/**
 * Finds the parts of prompts that crash upstreams, among those that only occur
 * beside them.
 *
 * A crash may be explained by each part of each prompt that ran on the upstream,
 * unless another prompt with the part was started as late and completed its
 * answer. The part that explains most crashes, compared with the answers that it
 * was part of lately, is taken first, and its crashes are explained; the others
 * have to account for the rest. A request that comes again explains its crashes as well
 * as its parts do.
 */
export class CrashEvidence {
  private crashes: TraitCrash[] = [];
  private readonly answers = new AnswerWeights();

  /** Records what a host saw of a crash. */
  recordCrash(crash: TraitCrash, nowMs: number): void {
    this.crashes = this.crashes
      .filter(({crashedAtMs}) => nowMs - crashedAtMs < CRASH_TTL_MS)
      .slice(1 - MAX_CRASHES);
    this.crashes.push(crash);
  }

  /**
   * Records a complete answer of this host or of another one.
   *
   * @param weight Number of answers that it stands for; 0 for one of another host.
   */
  recordAnswer(
    parts: readonly string[],
    startedAtMs: number,
    weight: number,
    nowMs: number,
  ): void {
    for (const part of parts) {
      this.answers.record(part, startedAtMs, weight, nowMs);
    }
  }

  /** Whether a prompt with the part got its whole answer at some time. */
  wasAnswered(part: string): boolean {
    return this.answers.getLastStartMs(part) > -Infinity;
  }

  /** Holds no crash of an attempt that was started until now against a part. */
  forgive(part: string, nowMs: number): void {
    this.answers.record(part, nowMs, 0, nowMs);
  }

  /** Whether a crash may be explained by one of these parts. */
  mayExplain(parts: readonly string[]): boolean {
    return this.crashes.some(crash =>
      crash.parts.some(part => parts.includes(part)),
    );
  }

  /**
   * Lists the parts that explain crashes, the most suspect ones first.
   *
   * @param blocked Parts that are known to crash upstreams; the crashes of prompts
   *     with them are explained.
   */
  assess(blocked: ReadonlySet<string>, nowMs: number): TraitSuspicion[] {
    const unexplained = new Set(
      this.listCrashes(nowMs).filter(
        ({reports, atMs}) =>
          nowMs - atMs >= SETTLE_MS &&
          !reports.some(({parts}) => parts.some(part => blocked.has(part))),
      ),
    );
    const candidates = this.listCandidates(unexplained, nowMs);
    const found: TraitSuspicion[] = [];
    for (;;) {
      const [best] = candidates.filter(isSuspect).sort(compareCandidates);
      if (best === undefined) return found;
      const equals = candidates.filter(
        one =>
          one.answers <= best.answers && isEqual(one.crashes, best.crashes),
      );
      const groups = groupByPrompts(equals);
      // One request that comes again is blocked as such.
      const isRequest = equals.some(({isPart}) => !isPart);
      for (const parts of isRequest ? [] : groups) {
        // Prompts that ran beside the cause at each crash are told apart by a trial.
        found.push(this.describe(best, parts, groups.length === 1));
      }
      const explained = [...best.crashes];
      for (const {crashes} of candidates) {
        for (const crash of explained) crashes.delete(crash);
      }
    }
  }

  private describe(
    candidate: Candidate,
    parts: readonly string[],
    isUnambiguous: boolean,
  ): TraitSuspicion {
    const crashes = candidate.crashes.size;
    const isProven = this.isProven(candidate, parts);
    const isConfirmed =
      isUnambiguous &&
      this.hasRecurred(candidate) &&
      (isProven || crashes >= MAX_UNPROVEN_CRASHES);
    return {parts, crashes, isConfirmed, isProven};
  }

  /** Joins the reports of each crash. */
  private listCrashes(nowMs: number): Crash[] {
    const latest = new Map<string, Crash>();
    const crashes: Crash[] = [];
    const recent = this.crashes
      .filter(({crashedAtMs}) => nowMs - crashedAtMs < CRASH_TTL_MS)
      .sort((left, right) => left.crashedAtMs - right.crashedAtMs);
    for (const report of recent) {
      const known = latest.get(report.upstream);
      if (known !== undefined && isSameCrash(known, report)) {
        known.reports.push(report);
        continue;
      }
      const crash = {reports: [report], atMs: report.crashedAtMs};
      latest.set(report.upstream, crash);
      crashes.push(crash);
    }
    return crashes;
  }

  private listCandidates(
    crashes: ReadonlySet<Crash>,
    nowMs: number,
  ): Candidate[] {
    const byPart = new Map<string, Candidate>();
    for (const crash of crashes) {
      for (const report of crash.reports) {
        const {request, parts, startedAtMs} = report;
        for (const name of [request, ...parts]) {
          const answeredAtMs = this.answers.getLastStartMs(name);
          if (startedAtMs <= answeredAtMs + SIMULTANEOUS_MS) continue;
          const candidate = byPart.get(name) ?? {
            name,
            isPart: name !== request,
            crashes: new Set(),
            prompts: new Set(),
            answers: this.answers.getWeight(name, nowMs),
          };
          candidate.crashes.add(crash);
          candidate.prompts.add(report);
          byPart.set(name, candidate);
        }
      }
    }
    return [...byPart.values()];
  }

  /** Whether answers tell that one of the crashes has no other cause. */
  private isProven({crashes}: Candidate, group: readonly string[]): boolean {
    return [...crashes].some(({reports}) =>
      reports.every(({parts}) =>
        parts.every(part => group.includes(part) || this.wasAnswered(part)),
      ),
    );
  }

  /** Whether a prompt with the part was sent after a crash, and crashed again. */
  private hasRecurred({name, crashes}: Candidate): boolean {
    const firstMs = Math.min(...[...crashes].map(({atMs}) => atMs));
    return [...crashes].some(({reports}) =>
      reports.some(
        ({parts, startedAtMs}) => startedAtMs > firstMs && parts.includes(name),
      ),
    );
  }
}

/** Whether a report tells of a crash that is known, not of the next one. */
function isSameCrash(known: Crash, report: TraitCrash): boolean {
  const laterMs = report.crashedAtMs - known.atMs;
  if (laterMs < MIN_RESTART_MS) return true;
  return laterMs < SAME_CRASH_MS && report.startedAtMs <= known.atMs;
}

function isSuspect({crashes, answers}: Candidate): boolean {
  return crashes.size >= MIN_CRASHES && crashes.size >= answers;
}

/** Orders candidates, the same way at all hosts. */
function compareCandidates(left: Candidate, right: Candidate): number {
  const difference = getScore(right) - getScore(left);
  if (difference !== 0) return difference;
  return left.name < right.name ? -1 : 1;
}

function getScore({crashes, answers}: Candidate): number {
  return crashes.size / (1 + answers);
}

/** Joins the parts that only occurred together, in the same prompts. */
function groupByPrompts(candidates: readonly Candidate[]): string[][] {
  const groups: {prompts: ReadonlySet<TraitCrash>; parts: string[]}[] = [];
  for (const {name, prompts} of candidates) {
    const group = groups.find(one => isEqual(one.prompts, prompts));
    if (group === undefined) groups.push({prompts, parts: [name]});
    else group.parts.push(name);
  }
  return groups.map(({parts}) => parts.sort());
}

function isEqual<T>(one: ReadonlySet<T>, other: ReadonlySet<T>): boolean {
  return one.size === other.size && [...one].every(it => other.has(it));
}
