import type {LoadReport} from './load_report.js';
import type {OwnAttempt} from './own_attempt.js';

/** Wait, in prompt tokens, that all longer prefills of an engine cost a shorter prompt. */
const LONGER_PREFILL_TOKENS = 8192;
/** Wait, in prompt tokens, that one request in decoding costs. */
const DECODING_TOKENS = 64;
/** Least part of an unfinished prefill that counts as still queued. */
const UNFINISHED_PART = 0.1;

/** Load of one engine: its lagging report and what this host did since. */
export class EngineLoad {
  private report: LoadReport | undefined;
  private readonly attempts = new Map<string, OwnAttempt>();
  /** Tokens of this host's prefills by class: started after the report. */
  private readonly newByClass: Float64Array;
  /** Tokens of this host's unfinished prefills that the report counts. */
  private countedTokens = 0;
  /** Tokens that the report counts and that were prefilled since. */
  private doneTokens = 0;
  private usedChange = 0;
  private decodingChange = 0;
  private longestClass = -1;

  constructor(
    private readonly classCount: number,
    private readonly classIndexOf: (tokens: number) => number,
  ) {
    this.newByClass = new Float64Array(classCount);
  }

  get inFlight(): number {
    let count = 0;
    for (const attempt of this.attempts.values()) {
      if (attempt.endedMs === undefined) count++;
    }
    return count;
  }

  /** Monotonic time of the last report; -Infinity when there is none. */
  get reportedAtMs(): number {
    return this.report?.takenAtMs ?? -Infinity;
  }

  /** Whether the report is newer than the last one; older ones are ignored. */
  takeReport(report: LoadReport): boolean {
    const last = this.report;
    if (last?.incarnation === report.incarnation) {
      if (report.sequence <= last.sequence) return false;
    }
    this.report = report;
    for (const [id, attempt] of this.attempts) {
      if (
        attempt.endedMs !== undefined &&
        attempt.endedMs <= report.takenAtMs
      ) {
        this.attempts.delete(id);
      }
    }
    this.recount();
    return true;
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

  /** Prompt tokens ahead of a new request of the class, as of now. */
  waitTokens(classIndex: number, tokensPerMs: number, nowMs: number): number {
    const reported = this.reportedTokens(tokensPerMs, nowMs);
    let same = 0;
    let longer = 0;
    for (let index = 0; index < this.classCount; index++) {
      const tokens = this.newByClass[index] ?? 0;
      if (index <= classIndex) same += tokens;
      else longer += tokens;
    }
    if (this.longestClass > classIndex) longer += reported;
    else same += reported;
    const decoding = Math.max(
      0,
      (this.report?.decoding ?? 0) + this.decodingChange,
    );
    return (
      same +
      Math.min(longer, LONGER_PREFILL_TOKENS) +
      decoding * DECODING_TOKENS
    );
  }

  /** Prompt tokens of any class queued at the engine, as of now. */
  queuedTokens(tokensPerMs: number, nowMs: number): number {
    let tokens = this.reportedTokens(tokensPerMs, nowMs);
    for (const queued of this.newByClass) tokens += queued;
    return tokens;
  }

  /** Whether the engine prefills a prompt of a longer class. */
  hasLonger(classIndex: number): boolean {
    if (this.longestClass > classIndex) return true;
    for (let index = classIndex + 1; index < this.classCount; index++) {
      if ((this.newByClass[index] ?? 0) > 0) return true;
    }
    return false;
  }

  /** KV memory in use, in tokens. */
  get usedTokens(): number {
    return Math.max(0, (this.report?.usedTokens ?? 0) + this.usedChange);
  }

  private reportedTokens(tokensPerMs: number, nowMs: number): number {
    if (!this.report) return this.countedTokens;
    const ageMs = Math.max(0, nowMs - this.report.takenAtMs);
    const drained = this.report.queuedTokens - ageMs * tokensPerMs;
    const left = Math.min(drained, this.report.queuedTokens - this.doneTokens);
    return Math.max(left, this.countedTokens * UNFINISHED_PART, 0);
  }

  private isCounted(attempt: OwnAttempt): boolean {
    return attempt.startedMs <= this.reportedAtMs;
  }

  private recount(): void {
    this.newByClass.fill(0);
    this.countedTokens = 0;
    this.doneTokens = 0;
    this.usedChange = 0;
    this.decodingChange = 0;
    for (const attempt of this.attempts.values()) this.countAttempt(attempt);
    this.longestClass = this.findLongestClass();
  }

  private countAttempt(attempt: OwnAttempt): void {
    const counted = this.isCounted(attempt);
    const prefilled =
      attempt.firstTokenMs !== undefined || attempt.endedMs !== undefined;
    const ended = attempt.endedMs !== undefined;
    if (!counted && !ended) this.usedChange += attempt.memoryTokens;
    if (counted && ended) this.usedChange -= attempt.memoryTokens;
    if (!counted && prefilled && !ended) this.decodingChange++;
    if (!counted && !prefilled) {
      const before = this.newByClass[attempt.classIndex] ?? 0;
      this.newByClass[attempt.classIndex] = before + attempt.prefillTokens;
    }
    if (!counted) return;
    if (!prefilled) {
      this.countedTokens += attempt.prefillTokens;
    } else if (this.wasPrefilledSince(attempt)) {
      this.doneTokens += attempt.prefillTokens;
    }
  }

  private wasPrefilledSince(attempt: OwnAttempt): boolean {
    const atMs = attempt.firstTokenMs ?? attempt.endedMs ?? Infinity;
    return atMs > this.reportedAtMs;
  }

  private findLongestClass(): number {
    const report = this.report;
    if (!report || report.longestPrefillTokens <= 0) return -1;
    if (report.queuedTokens - this.doneTokens <= 0) return -1;
    return this.classIndexOf(report.longestPrefillTokens);
  }
}
