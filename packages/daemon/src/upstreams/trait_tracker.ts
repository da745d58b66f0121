import {createHash} from 'node:crypto';
import {
  CrashEvidence,
  type CrashSuspects,
  type TraitSuspicion,
  type SuspectUpdate,
} from '@parsleywood/requests';
import type {
  PartAnswerMessage,
  PartCrashMessage,
} from '@parsleywood/schema/suspects';
import type {Clock} from '../host/clock.js';
import type {ObservedCrash} from './observed_crash.js';
import type {SuspectPublisher} from './suspect_publisher.js';

/** Time from a report to the next assessment; several hosts report each crash. */
const ASSESSMENT_DELAY_MS = 80;
/** Age at which an assessment is repeated although nothing was learned. */
const MAX_ASSESSMENT_AGE_MS = 250;

const BLOCK_MS = 3_600_000;
/** A sound part may be blocked while no prompt with it has been answered. */
const UNPROVEN_BLOCK_MS = 60_000;
/** Parts that were sound before are tried again soon. */
const ANSWERED_BLOCK_MS = 10_000;

/**
 * Tracks which parts of prompts crash upstreams, from what all hosts tell of
 * crashes and complete answers.
 */
export class TraitTracker {
  private readonly evidence = new CrashEvidence();
  private suspicions: TraitSuspicion[] = [];
  /** Monotonic time at which all hosts have reported what is known so far. */
  private settledAtMs = -Infinity;
  /** Monotonic time of the next assessment; Infinity if there is no evidence. */
  private assessAtMs = Infinity;

  /**
   * @param countHosts Returns the number of hosts among which prompts are spread.
   * @param onUpdate Called with each change of what is blocked.
   */
  constructor(
    private readonly suspects: CrashSuspects,
    private readonly clock: Clock,
    private readonly publisher: SuspectPublisher,
    private readonly countHosts: () => number,
    private readonly onUpdate: (update: SuspectUpdate) => void,
  ) {}

  /** Returns the parts for which a prompt is refused; empty if it is not. */
  findBlocked(parts: readonly string[]): readonly string[] {
    if (parts.length === 0) return [];
    this.assessIfDue();
    const [record] = this.suspects.listBlockedParts(parts, this.clock.nowMs());
    return record?.parts ?? [];
  }

  /**
   * Returns the name under which prompts that may crash upstreams run one at a
   * time; empty if the prompt is none of them.
   */
  findQuarantine(parts: readonly string[]): string {
    if (parts.length === 0) return '';
    this.assessIfDue();
    const found = this.suspicions.find(({parts: group}) =>
      group.every(part => parts.includes(part)),
    );
    return found === undefined ? '' : computeGroupFingerprint(found.parts);
  }

  /**
   * Records a crash that this host noticed.
   *
   * @param request Fingerprint of the request.
   */
  recordCrash(
    request: string,
    parts: readonly string[],
    {upstreams, startedAtMs}: ObservedCrash,
  ): void {
    if (parts.length === 0) return;
    const nowMs = this.clock.nowMs();
    for (const upstream of upstreams) {
      const crash = {
        upstream,
        request,
        parts,
        startedAtMs,
        crashedAtMs: nowMs,
      };
      this.evidence.recordCrash(crash, nowMs);
      this.publisher.publishPartCrash({
        upstream,
        request,
        parts: [...parts],
        startedAgoMs: toAge(nowMs - startedAtMs),
        crashedAgoMs: 0,
      });
    }
    this.planAssessment();
  }

  /** Records a complete answer of this host. */
  recordAnswer(parts: readonly string[], startedAtMs: number): void {
    if (parts.length === 0) return;
    const nowMs = this.clock.nowMs();
    const weight = this.countHosts();
    this.evidence.recordAnswer(parts, startedAtMs, weight, nowMs);
    if (!this.evidence.mayExplain(parts)) return;
    const startedAgoMs = toAge(nowMs - startedAtMs);
    this.publisher.publishPartAnswer({parts: [...parts], startedAgoMs});
    this.applyCounterEvidence(parts);
  }

  /** Applies what a peer saw of a crash. */
  applyCrash(message: PartCrashMessage): void {
    const {upstream, request, parts, startedAgoMs, crashedAgoMs} = message;
    const nowMs = this.clock.nowMs();
    const startedAtMs = nowMs - startedAgoMs;
    const crashedAtMs = nowMs - crashedAgoMs;
    const crash = {upstream, request, parts, startedAtMs, crashedAtMs};
    this.evidence.recordCrash(crash, nowMs);
    this.planAssessment();
  }

  /** Applies a complete answer of a peer. */
  applyAnswer({parts, startedAgoMs}: PartAnswerMessage): void {
    const nowMs = this.clock.nowMs();
    this.evidence.recordAnswer(parts, nowMs - startedAgoMs, 0, nowMs);
    this.applyCounterEvidence(parts);
  }

  private isBlockedGroup(group: readonly string[]): boolean {
    const records = this.suspects.listBlockedParts(group, this.clock.nowMs());
    return records.some(({parts}) => parts.length === group.length);
  }

  private applyCounterEvidence(parts: readonly string[]): void {
    const updates = this.suspects.clearParts(parts, this.clock.nowMs());
    for (const update of updates) this.onUpdate(update);
    this.planAssessment();
  }

  /** Plans an assessment after something was learned. */
  planAssessment(): void {
    this.settledAtMs = this.clock.nowMs() + ASSESSMENT_DELAY_MS;
    this.assessAtMs = Math.min(this.assessAtMs, this.settledAtMs);
  }

  private assessIfDue(): void {
    if (this.clock.nowMs() >= this.assessAtMs) this.assess();
  }

  /** Blocks what crashed upstreams again after it was seen to. */
  private assess(): void {
    const nowMs = this.clock.nowMs();
    const groups = this.suspects.listBlockedGroups();
    // Of a group, one part alone may be the cause.
    const blocked = new Set(groups.filter(({length}) => length === 1).flat());
    const suspicions = this.evidence.assess(blocked, nowMs);
    for (const part of blocked) {
      // Once the block has ended, only new crashes count.
      if (this.evidence.wasAnswered(part)) this.evidence.forgive(part, nowMs);
    }
    this.suspicions = suspicions.filter(({isConfirmed}) => !isConfirmed);
    const repeatAtMs =
      this.suspicions.length > 0 ? nowMs + MAX_ASSESSMENT_AGE_MS : Infinity;
    const isSettled = nowMs >= this.settledAtMs;
    this.assessAtMs = isSettled ? repeatAtMs : this.settledAtMs;
    for (const {parts, crashes, isConfirmed, isProven} of suspicions) {
      if (!isConfirmed) continue;
      const wasAnswered = parts.every(part => this.evidence.wasAnswered(part));
      if (this.isBlockedGroup(parts)) continue;
      const fingerprint = computeGroupFingerprint(parts);
      this.onUpdate(
        this.suspects.blockParts(
          fingerprint,
          parts,
          crashes,
          chooseBlockMs(wasAnswered, isProven),
          nowMs,
        ),
      );
      this.planAssessment();
    }
  }
}

function chooseBlockMs(wasAnswered: boolean, isProven: boolean): number {
  if (wasAnswered) return ANSWERED_BLOCK_MS;
  return isProven ? BLOCK_MS : UNPROVEN_BLOCK_MS;
}

function computeGroupFingerprint(parts: readonly string[]): string {
  return createHash('sha256')
    .update(`parts ${parts.join(',')}`)
    .digest('hex');
}

/** Returns a time span as messages carry it, in whole milliseconds. */
function toAge(ms: number): number {
  return Math.max(0, Math.round(ms));
}
