import type {LoadReport} from './load_report.js';
import type {LoadRow} from './load_row.js';
import type {LocalAttempt} from './local_attempt.js';

/** Wait that each request in decode causes, in prompt tokens. */
const DECODE_COST_TOKENS = 64;
/** Minimum fraction of an unfinished prefill that counts as still queued. */
const MIN_UNFINISHED_FRACTION = 0.1;

/**
 * Estimated load of one engine: its last report, which lags behind, corrected
 * by the attempts of this host.
 */
export class EngineLoad {
  private report: LoadReport | undefined;
  private readonly attempts = new Map<string, LocalAttempt>();
  /**
   * Tokens of unfinished local prefills that started after the report, by
   * class.
   */
  private readonly unreportedTokensByClass: Float64Array;
  /** Tokens of unfinished local prefills that the report includes. */
  private reportedUnfinishedTokens = 0;
  /**
   * Tokens of local prefills that the report includes but that have finished
   * since.
   */
  private prefilledTokens = 0;
  private usedTokensDelta = 0;
  private decodingDelta = 0;

  constructor(
    classCount: number,
    private readonly toClassIndex: (tokens: number) => number,
  ) {
    this.unreportedTokensByClass = new Float64Array(classCount);
  }

  /**
   * Applies a report and returns the age of the report that it replaces (its own
   * age if it is the first), in milliseconds. Ignores a report that is not newer
   * and returns undefined.
   */
  applyReport(report: LoadReport, nowMs: number): number | undefined {
    const last = this.report;
    if (last?.incarnation === report.incarnation) {
      if (report.sequence <= last.sequence) return undefined;
    }
    this.report = report;
    for (const [id, {endedAtMs}] of this.attempts) {
      if (endedAtMs !== undefined && endedAtMs <= report.takenAtMs) {
        this.attempts.delete(id);
      }
    }
    this.recomputeTotals();
    return nowMs - (last?.takenAtMs ?? report.takenAtMs);
  }

  startAttempt(id: string, attempt: LocalAttempt): void {
    this.attempts.set(id, attempt);
    this.recomputeTotals();
  }

  /**
   * Records the first token; returns the attempt, or undefined if it is unknown
   * or already had one.
   */
  recordFirstToken(id: string, nowMs: number): LocalAttempt | undefined {
    const attempt = this.attempts.get(id);
    if (!attempt || attempt.firstTokenAtMs !== undefined) return undefined;
    attempt.firstTokenAtMs = nowMs;
    this.recomputeTotals();
    return attempt;
  }

  endAttempt(id: string, nowMs: number): void {
    const attempt = this.attempts.get(id);
    if (!attempt) return;
    attempt.endedAtMs = nowMs;
    if (!this.isInReport(attempt)) this.attempts.delete(id);
    this.recomputeTotals();
  }

  /**
   * Estimated prompt tokens of all classes that are queued at the engine now.
   */
  estimateQueuedTokens(tokensPerMs: number, nowMs: number): number {
    const report = this.report;
    const ageMs = nowMs - (report?.takenAtMs ?? nowMs);
    const undrainedTokens = (report?.queuedTokens ?? 0) - ageMs * tokensPerMs;
    const remainingTokens = Math.min(
      undrainedTokens,
      this.findMaxRemainingTokens(),
    );
    const reported = Math.max(remainingTokens, this.findMinRemainingTokens());
    return this.unreportedTokensByClass.reduce(
      (sum, tokens) => sum + tokens,
      reported,
    );
  }

  /**
   * Converts the load to a row of the load table of the model.
   *
   * @param longerWaitTokens Maximum wait that longer prefills cause for a shorter
   *   prompt, in tokens.
   */
  toRow(
    memoryTokens: number,
    blockedUntilMs: number,
    longerWaitTokens: number,
  ): LoadRow {
    const report = this.report;
    const used = Math.max(0, (report?.usedTokens ?? 0) + this.usedTokensDelta);
    return {
      reportedTokens: report?.queuedTokens ?? 0,
      reportedAtMs: report?.takenAtMs ?? 0,
      minRemainingTokens: this.findMinRemainingTokens(),
      maxRemainingTokens: this.findMaxRemainingTokens(),
      longestClassIndex: this.findLongestClass(),
      longerWaitTokens,
      baseWaitTokens: this.findBaseWaitTokens(longerWaitTokens),
      freeTokens: memoryTokens - used,
      blockedUntilMs,
    };
  }

  /** Whether the engine has an unfinished prefill of a longer class. */
  hasLongerPrefill(classIndex: number): boolean {
    if (this.findLongestClass() > classIndex) return true;
    return this.unreportedTokensByClass.some(
      (tokens, index) => index > classIndex && tokens > 0,
    );
  }

  /** Wait that decode and unreported local prefills cause, by class. */
  private findBaseWaitTokens(longerWaitTokens: number): number[] {
    const decoding = (this.report?.decoding ?? 0) + this.decodingDelta;
    let shorterTokens = Math.max(0, decoding) * DECODE_COST_TOKENS;
    let longerTokens = this.unreportedTokensByClass.reduce(
      (sum, tokens) => sum + tokens,
      0,
    );
    return Array.from(this.unreportedTokensByClass, tokens => {
      shorterTokens += tokens;
      longerTokens -= tokens;
      return shorterTokens + Math.min(longerTokens, longerWaitTokens);
    });
  }

  private findMinRemainingTokens(): number {
    return this.reportedUnfinishedTokens * MIN_UNFINISHED_FRACTION;
  }

  private findMaxRemainingTokens(): number {
    if (!this.report) return 0;
    return Math.max(0, this.report.queuedTokens - this.prefilledTokens);
  }

  private isInReport(attempt: LocalAttempt): boolean {
    return attempt.startedAtMs <= (this.report?.takenAtMs ?? -Infinity);
  }

  private recomputeTotals(): void {
    this.unreportedTokensByClass.fill(0);
    this.reportedUnfinishedTokens = 0;
    this.prefilledTokens = 0;
    this.usedTokensDelta = 0;
    this.decodingDelta = 0;
    for (const attempt of this.attempts.values()) this.addToTotals(attempt);
  }

  private addToTotals(attempt: LocalAttempt): void {
    const prefilledAtMs = attempt.firstTokenAtMs ?? attempt.endedAtMs;
    const hasEnded = attempt.endedAtMs !== undefined;
    if (!this.isInReport(attempt)) {
      this.usedTokensDelta += attempt.memoryTokens;
      if (prefilledAtMs !== undefined) {
        this.decodingDelta++;
      } else {
        const previousTokens =
          this.unreportedTokensByClass[attempt.classIndex] ?? 0;
        this.unreportedTokensByClass[attempt.classIndex] =
          previousTokens + attempt.prefillTokens;
      }
      return;
    }
    if (hasEnded) this.usedTokensDelta -= attempt.memoryTokens;
    if (prefilledAtMs === undefined) {
      this.reportedUnfinishedTokens += attempt.prefillTokens;
    } else if (prefilledAtMs > (this.report?.takenAtMs ?? 0)) {
      this.prefilledTokens += attempt.prefillTokens;
      if (!hasEnded) this.decodingDelta++;
    } else if (hasEnded) {
      this.decodingDelta--;
    }
  }

  private findLongestClass(): number {
    const tokens = this.report?.longestPrefillTokens ?? 0;
    return tokens > 0 && this.findMaxRemainingTokens() > 0
      ? this.toClassIndex(tokens)
      : -1;
  }
}
