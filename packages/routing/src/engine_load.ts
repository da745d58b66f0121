import type {LoadReport} from './load_report.js';
import type {LoadRow} from './load_row.js';
import type {OwnAttempt} from './own_attempt.js';

/** Wait, in prompt tokens, that one request in decoding costs. */
const DECODING_TOKENS = 64;
/** Least part of an unfinished prefill that counts as still queued. */
const UNFINISHED_PART = 0.1;

/** Load of one engine: its lagging report and what this host did since. */
export class EngineLoad {
  private report: LoadReport | undefined;
  private readonly attempts = new Map<string, OwnAttempt>();
  /** Tokens of this host's prefills that started after the report, by class. */
  private readonly newByClass: Float64Array;
  /** Tokens of this host's unfinished prefills that the report counts. */
  private countedTokens = 0;
  /** Tokens that the report counts and that were prefilled since. */
  private doneTokens = 0;
  private usedChange = 0;
  private decodingChange = 0;

  constructor(
    classCount: number,
    private readonly classIndexOf: (tokens: number) => number,
  ) {
    this.newByClass = new Float64Array(classCount);
  }

  /** Takes a report; undefined when it is not newer, else its age when replaced. */
  takeReport(report: LoadReport, nowMs: number): number | undefined {
    const last = this.report;
    if (last?.incarnation === report.incarnation) {
      if (report.sequence <= last.sequence) return undefined;
    }
    this.report = report;
    for (const [id, {endedMs}] of this.attempts) {
      if (endedMs !== undefined && endedMs <= report.takenAtMs) {
        this.attempts.delete(id);
      }
    }
    this.recount();
    return nowMs - (last?.takenAtMs ?? report.takenAtMs);
  }

  startAttempt(id: string, attempt: OwnAttempt): void {
    this.attempts.set(id, attempt);
    this.recount();
  }

  /** The attempt whose first token came, unless it had come before. */
  takeFirstToken(id: string, nowMs: number): OwnAttempt | undefined {
    const attempt = this.attempts.get(id);
    if (!attempt || attempt.firstTokenMs !== undefined) return undefined;
    attempt.firstTokenMs = nowMs;
    this.recount();
    return attempt;
  }

  endAttempt(id: string, nowMs: number): void {
    const attempt = this.attempts.get(id);
    if (!attempt) return;
    attempt.endedMs = nowMs;
    if (!this.isCounted(attempt)) this.attempts.delete(id);
    this.recount();
  }

  /** Prompt tokens of any class queued at the engine, as of now. */
  queuedTokens(tokensPerMs: number, nowMs: number): number {
    const report = this.report;
    const ageMs = nowMs - (report?.takenAtMs ?? nowMs);
    const drained = (report?.queuedTokens ?? 0) - ageMs * tokensPerMs;
    const left = Math.min(drained, this.mostTokens());
    const reported = Math.max(left, this.leastTokens());
    return this.newByClass.reduce((sum, tokens) => sum + tokens, reported);
  }

  /**
   * The load as the model's table keeps it.
   *
   * @param longerTokens Wait that longer prefills cost a shorter prompt at most.
   */
  toRow(
    memoryTokens: number,
    blockedUntilMs: number,
    longerTokens: number,
  ): LoadRow {
    const report = this.report;
    const used = Math.max(0, (report?.usedTokens ?? 0) + this.usedChange);
    return {
      reportedTokens: report?.queuedTokens ?? 0,
      reportedAtMs: report?.takenAtMs ?? 0,
      leastTokens: this.leastTokens(),
      mostTokens: this.mostTokens(),
      longestClass: this.findLongestClass(),
      longerTokens,
      baseTokens: this.baseTokens(longerTokens),
      freeTokens: memoryTokens - used,
      blockedUntilMs,
    };
  }

  /** Whether the engine prefills a prompt of a longer class. */
  hasLonger(classIndex: number): boolean {
    if (this.findLongestClass() > classIndex) return true;
    return this.newByClass.some(
      (tokens, index) => index > classIndex && tokens > 0,
    );
  }

  /** Wait that decoding and this host's new prefills cause, by class. */
  private baseTokens(longerTokens: number): number[] {
    const decoding = (this.report?.decoding ?? 0) + this.decodingChange;
    let shorter = Math.max(0, decoding) * DECODING_TOKENS;
    let longer = this.newByClass.reduce((sum, tokens) => sum + tokens, 0);
    return Array.from(this.newByClass, tokens => {
      shorter += tokens;
      longer -= tokens;
      return shorter + Math.min(longer, longerTokens);
    });
  }

  private leastTokens(): number {
    return this.countedTokens * UNFINISHED_PART;
  }

  private mostTokens(): number {
    if (!this.report) return 0;
    return Math.max(0, this.report.queuedTokens - this.doneTokens);
  }

  private isCounted(attempt: OwnAttempt): boolean {
    return attempt.startedMs <= (this.report?.takenAtMs ?? -Infinity);
  }

  private recount(): void {
    this.newByClass.fill(0);
    this.countedTokens = 0;
    this.doneTokens = 0;
    this.usedChange = 0;
    this.decodingChange = 0;
    for (const attempt of this.attempts.values()) this.countAttempt(attempt);
  }

  private countAttempt(attempt: OwnAttempt): void {
    const prefilledMs = attempt.firstTokenMs ?? attempt.endedMs;
    const ended = attempt.endedMs !== undefined;
    if (!this.isCounted(attempt)) {
      this.usedChange += attempt.memoryTokens;
      if (prefilledMs !== undefined) {
        this.decodingChange++;
      } else {
        const before = this.newByClass[attempt.classIndex] ?? 0;
        this.newByClass[attempt.classIndex] = before + attempt.prefillTokens;
      }
      return;
    }
    if (ended) this.usedChange -= attempt.memoryTokens;
    if (prefilledMs === undefined) {
      this.countedTokens += attempt.prefillTokens;
    } else if (prefilledMs > (this.report?.takenAtMs ?? 0)) {
      this.doneTokens += attempt.prefillTokens;
      if (!ended) this.decodingChange++;
    } else if (ended) {
      this.decodingChange--;
    }
  }

  private findLongestClass(): number {
    const tokens = this.report?.longestPrefillTokens ?? 0;
    return tokens > 0 && this.mostTokens() > 0 ? this.classIndexOf(tokens) : -1;
  }
}
