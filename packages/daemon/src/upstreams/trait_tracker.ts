import {createHash} from 'node:crypto';
import {
  CrashEvidence,
  listTraits,
  type CrashSuspects,
  type RequestTraits,
  type TraitSuspicion,
  type SuspectUpdate,
} from '@parsleywood/requests';
import type {
  TraitAnswerMessage,
  TraitCrashMessage,
} from '@parsleywood/schema/suspects';
import type {Clock} from '../host/clock.js';
import type {ObservedCrash} from './observed_crash.js';
import type {SuspectPublisher} from './suspect_publisher.js';

/** Time from a report to the next assessment; several hosts report each crash. */
const ASSESSMENT_DELAY_MS = 80;
/** Age at which an assessment is repeated although nothing was learned. */
const MAX_ASSESSMENT_AGE_MS = 250;

const BLOCK_MS = 3_600_000;
/** A sound trait may be blocked while no request with it has been answered. */
const UNPROVEN_BLOCK_MS = 60_000;
/** Traits that were sound before are tried again soon. */
const ANSWERED_BLOCK_MS = 10_000;

/**
 * Tracks which traits of requests crash upstreams, from what all hosts tell of
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
   * @param countHosts Returns the number of hosts among which requests are spread.
   * @param onUpdate Called with each change of what is blocked.
   */
  constructor(
    private readonly suspects: CrashSuspects,
    private readonly clock: Clock,
    private readonly publisher: SuspectPublisher,
    private readonly countHosts: () => number,
    private readonly onUpdate: (update: SuspectUpdate) => void,
  ) {}

  /** Returns the traits for which a request is refused; empty if it is not. */
  findBlocked(traits: RequestTraits): readonly string[] {
    this.assessIfDue();
    const names = listTraits(traits);
    const [record] = this.suspects.listBlockedTraits(names, this.clock.nowMs());
    return record?.traits ?? [];
  }

  /**
   * Returns the name under which requests that may crash upstreams run one at a
   * time; empty if the request is none of them.
   */
  findQuarantine(traits: RequestTraits): string {
    this.assessIfDue();
    if (this.suspicions.length === 0) return '';
    const names = new Set(listTraits(traits));
    const found = this.suspicions.find(({traits: group}) =>
      group.every(trait => names.has(trait)),
    );
    return found === undefined ? '' : computeGroupFingerprint(found.traits);
  }

  /**
   * Records a crash that this host noticed.
   *
   * @param request Fingerprint of the request.
   */
  recordCrash(
    request: string,
    {scopes, parts}: RequestTraits,
    {upstreams, startedAtMs}: ObservedCrash,
  ): void {
    const nowMs = this.clock.nowMs();
    for (const upstream of upstreams) {
      const crash = {
        upstream,
        request,
        scopes,
        parts,
        startedAtMs,
        crashedAtMs: nowMs,
      };
      this.evidence.recordCrash(crash, nowMs);
      this.publisher.publishTraitCrash({
        upstream,
        request,
        scopes: [...scopes],
        parts: [...parts],
        startedAgoMs: toAge(nowMs - startedAtMs),
        crashedAgoMs: 0,
      });
    }
    this.planAssessment();
  }

  /** Records a complete answer of this host. */
  recordAnswer(traits: RequestTraits, startedAtMs: number): void {
    const nowMs = this.clock.nowMs();
    const weight = this.countHosts();
    this.evidence.recordAnswer(traits, startedAtMs, weight, nowMs);
    if (!this.evidence.mayExplain(traits, nowMs)) return;
    const startedAgoMs = toAge(nowMs - startedAtMs);
    const [scopes, parts] = [[...traits.scopes], [...traits.parts]];
    this.publisher.publishTraitAnswer({scopes, parts, startedAgoMs});
    this.applyCounterEvidence(traits);
  }

  /** Applies what a peer saw of a crash. */
  applyCrash(message: TraitCrashMessage): void {
    const {startedAgoMs, crashedAgoMs, ...seen} = message;
    const nowMs = this.clock.nowMs();
    const startedAtMs = nowMs - startedAgoMs;
    const crashedAtMs = nowMs - crashedAgoMs;
    this.evidence.recordCrash({...seen, startedAtMs, crashedAtMs}, nowMs);
    this.planAssessment();
  }

  /** Applies a complete answer of a peer. */
  applyAnswer({startedAgoMs, ...traits}: TraitAnswerMessage): void {
    const nowMs = this.clock.nowMs();
    this.evidence.recordAnswer(traits, nowMs - startedAgoMs, 0, nowMs);
    this.applyCounterEvidence(traits);
  }

  private isBlockedGroup(group: readonly string[]): boolean {
    const records = this.suspects.listBlockedTraits(group, this.clock.nowMs());
    return records.some(({traits}) => traits.length === group.length);
  }

  private applyCounterEvidence(traits: RequestTraits): void {
    const names = listTraits(traits);
    const updates = this.suspects.clearTraits(names, this.clock.nowMs());
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
    // Of a group, one trait alone may be the cause.
    const blocked = new Set(groups.filter(({length}) => length === 1).flat());
    const suspicions = this.evidence.assess(blocked, nowMs);
    for (const trait of blocked) {
      // Once the block has ended, only new crashes count.
      if (this.evidence.wasAnswered(trait)) this.evidence.forgive(trait, nowMs);
    }
    this.suspicions = suspicions.filter(({isConfirmed}) => !isConfirmed);
    const repeatAtMs =
      this.suspicions.length > 0 ? nowMs + MAX_ASSESSMENT_AGE_MS : Infinity;
    const isSettled = nowMs >= this.settledAtMs;
    this.assessAtMs = isSettled ? repeatAtMs : this.settledAtMs;
    for (const {traits, crashes, isConfirmed, isProven} of suspicions) {
      if (!isConfirmed) continue;
      const wasAnswered = traits.every(it => this.evidence.wasAnswered(it));
      if (this.isBlockedGroup(traits)) continue;
      const fingerprint = computeGroupFingerprint(traits);
      this.onUpdate(
        this.suspects.blockTraits(
          fingerprint,
          traits,
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

/** Hosts of earlier versions hash groups of parts in the same way. */
function computeGroupFingerprint(traits: readonly string[]): string {
  return createHash('sha256')
    .update(`parts ${traits.join(',')}`)
    .digest('hex');
}

/** Returns a time span as messages carry it, in whole milliseconds. */
function toAge(ms: number): number {
  return Math.max(0, Math.round(ms));
}
