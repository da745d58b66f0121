import type {LoadReport} from './load_report.js';
import type {LoadRow} from './load_row.js';
import type {LocalAttempt} from './local_attempt.js';

/** Wait, in prompt tokens, that one request in decoding costs. */
const DECODE_COST_TOKENS = 64;
/** Least part of an unfinished prefill that counts as still queued. */
const MIN_UNFINISHED_FRACTION = 0.1;

/** Load of one engine: its lagging report and what this host did since. */
export class EngineLoad {
  private report: LoadReport | undefined;
  private readonly attempts = new Map<string, LocalAttempt>();
  /** Tokens of this host's prefills that started after the report, by class. */
  private readonly unreportedTokensByClass: Float64Array;
  /** Tokens of this host's unfinished prefills that the report counts. */
  private reportedUnfinishedTokens = 0;
  /** Tokens that the report counts and that were prefilled since. */
  private prefilledTokens = 0;
  private usedTokensDelta = 0;
  private decodingDelta = 0;

  constructor(
    classCount: number,
    private readonly toClassIndex: (tokens: number) => number,
  ) {
    this.unreportedTokensByClass = new Float64Array(classCount);
  }

  /** Takes a report; undefined when it is not newer, else its age when replaced. */
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

  /** The attempt whose first token came, unless it had come before. */
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

  /** Prompt tokens of any class queued at the engine, as of now. */
  queuedTokens(tokensPerMs: number, nowMs: number): number {
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
   * The load as the model's table keeps it.
   *
   * @param longerWaitTokens Wait that longer prefills cost a shorter prompt at most.
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

  /** Whether the engine prefills a prompt of a longer class. */
  hasLongerPrefill(classIndex: number): boolean {
    if (this.findLongestClass() > classIndex) return true;
    return this.unreportedTokensByClass.some(
      (tokens, index) => index > classIndex && tokens > 0,
    );
  }

  /** Wait that decoding and this host's new prefills cause, by class. */
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
