import {createHash} from 'node:crypto';
import {
  CrashEvidence,
  listTraits,
  type CrashBlock,
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

  /** Returns the traits for which a request is refused; undefined if it is not. */
  findBlock(traits: RequestTraits): CrashBlock | undefined {
    this.assessIfDue();
    return this.suspects.findTraitBlock(listTraits(traits), this.clock.nowMs());
  }

  /**
   * Returns the name under which requests that may crash upstreams run one at a
   * time; empty if the request is none of them.
   */
  findQuarantine(traits: RequestTraits): string {
    this.assessIfDue();
    const list = listTraits(traits);
    const trial = this.suspects.findTrial(list, this.clock.nowMs());
    if (trial !== undefined) return trial;
    if (this.suspicions.length === 0) return '';
    const names = new Set(list);
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
    {upstreams, startedAtMs, wasAlone}: ObservedCrash,
  ): void {
    const nowMs = this.clock.nowMs();
    for (const upstream of upstreams) {
      const crash = {
        upstream,
        request,
        scopes,
        parts,
        wasAlone,
        startedAtMs,
        crashedAtMs: nowMs,
      };
      this.evidence.recordCrash(crash, nowMs);
      this.publisher.publishTraitCrash({
        upstream,
        request,
        scopes: [...scopes],
        parts: [...parts],
        wasAlone,
        startedAgoMs: toAge(nowMs - startedAtMs),
        crashedAgoMs: 0,
      });
    }
    const names = listTraits({scopes, parts});
    const updates = this.suspects.recordTraitCrash(names, startedAtMs, nowMs);
    for (const update of updates) this.onUpdate(update);
    this.planAssessment();
  }

  /** Records a complete answer of this host. */
  recordAnswer(traits: RequestTraits, startedAtMs: number): void {
    const nowMs = this.clock.nowMs();
    const weight = this.countHosts();
    this.evidence.recordAnswer(traits, startedAtMs, weight, nowMs);
    const isOnTrial =
      this.suspects.findTrial(listTraits(traits), nowMs) !== undefined;
    if (!isOnTrial && !this.evidence.mayExplain(traits, nowMs)) return;
    const startedAgoMs = toAge(nowMs - startedAtMs);
    const [scopes, parts] = [[...traits.scopes], [...traits.parts]];
    this.publisher.publishTraitAnswer({scopes, parts, startedAgoMs});
    this.clearSound(listTraits(traits), startedAtMs);
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
    const startedAtMs = nowMs - startedAgoMs;
    this.evidence.recordAnswer(traits, startedAtMs, 0, nowMs);
    this.clearSound(listTraits(traits), startedAtMs);
  }

  /** Takes note of a group that a peer has blocked, or has cleared. */
  applyGroup(group: readonly string[]): void {
    this.clearSound(group, -Infinity);
  }

  /**
   * Clears the groups of a request that are sound by what this host knows.
   *
   * @param answeredAtMs Start of the attempt that was answered; -Infinity if none was.
   */
  private clearSound(names: readonly string[], answeredAtMs: number): void {
    const updates = this.suspects.clearTraits(
      names,
      answeredAtMs,
      group => this.evidence.isContradicted(group),
      this.clock.nowMs(),
    );
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
    this.suspicions = suspicions.filter(({isConfirmed}) => !isConfirmed);
    for (const {traits, crashes, isConfirmed} of suspicions) {
      if (isConfirmed) this.block(traits, crashes, nowMs);
    }
    this.confirmProven(groups, nowMs);
    this.planNextAssessment(nowMs);
  }

  private planNextAssessment(nowMs: number): void {
    const {settledAtMs, suspicions} = this;
    const {dueAtMs} = this.evidence.findProofs(nowMs);
    const repeatAtMs =
      suspicions.length > 0 ? nowMs + MAX_ASSESSMENT_AGE_MS : Infinity;
    const proofAtMs = nowMs < dueAtMs ? dueAtMs : Infinity;
    this.assessAtMs =
      nowMs < settledAtMs ? settledAtMs : Math.min(repeatAtMs, proofAtMs);
  }

  private block(
    traits: readonly string[],
    crashes: number,
    nowMs: number,
  ): void {
    const fingerprint = computeGroupFingerprint(traits);
    if (this.suspects.isKnownGroup(fingerprint, nowMs)) return;
    this.onUpdate(
      this.suspects.blockTraits(fingerprint, traits, crashes, nowMs),
    );
    this.planAssessment();
  }

  /** Blocks for good what crashed upstreams alone. */
  private confirmProven(
    groups: readonly (readonly string[])[],
    nowMs: number,
  ): void {
    const proofs = this.evidence.findProofs(nowMs);
    const proven = groups
      // What was sound before is tried again.
      .filter(group => !group.every(it => this.evidence.wasAnswered(it)))
      .filter(group => proofs.hasGroup(group))
      .map(computeGroupFingerprint);
    for (const name of [...proven, ...proofs.listRequests()]) {
      const update = this.suspects.confirm(name, nowMs);
      if (update !== undefined) this.onUpdate(update);
    }
  }
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
